// Requests that crash the upstreams that run them.
//
// An upstream's unexpected death counts against every fingerprint that it was
// running; on the second such death a fingerprint is quarantined. No evidence
// are: a death under notice, the loss of a whole failure domain, and deaths of
// several upstreams of one domain within a second that have no request in
// common. A suspect runs apart from other suspects, so that the next death
// tells the guilty one from its neighbours; a suspect that ends well is clear.
#pragma once

#include <bergamotusher/ids.hpp>
#include <bergamotusher/time.hpp>

#include <map>
#include <set>
#include <string>
#include <vector>

namespace bergamotusher::serving
{

/// Deaths after which a fingerprint is quarantined.
inline constexpr std::size_t deaths_to_quarantine = 2;
/// A death is judged this long after it, when others of its domain would
/// have shown.
inline constexpr duration coincidence_window = 1s;
/// A broken connection without a sign that the upstream died counts as a
/// possible death for this long.
inline constexpr duration suspicion_window = 3s;
/// Such a sign may come this long after the connection broke.
inline constexpr duration confirmation_window = 10s;
/// Two deaths of one upstream within this span are one, told twice.
inline constexpr duration same_death_window = 5s;
/// Suspicion and quarantine end after this.
inline constexpr duration quarantine_time = std::chrono::hours(1);
/// Fingerprints kept of each kind.
inline constexpr std::size_t most_fingerprints = 10'000;

/// A death, or what may be one, that is not judged yet.
struct possible_death
{
    upstream_id target;
    failure_domain domain;
    time_point at;
    std::set<std::string> suspects;
    bool confirmed = false;
    bool under_notice = false;
    /// Learnt from another entry, so not reported again.
    bool reported_here = false;
    bool judged = false;
};

/// A judged death that counts against a fingerprint.
struct counted_death
{
    upstream_id target;
    time_point at;
};

/// All evidence of one entry.
struct quarantine_state
{
    std::vector<possible_death> possible;
    std::map<std::string, std::vector<counted_death>> suspects;
    std::map<std::string, time_point> quarantined;
    /// Upstreams under notice, whose death is expected.
    std::map<upstream_id, time_point> noticed;
};

/// What a judgement found.
struct crash_verdict
{
    std::string fingerprint;
    upstream_id target;
    failure_domain domain;
    /// Other entries do not know of it yet.
    bool to_report = false;
    bool quarantined = false;
};

/// A connection to `target` broke while it ran `fingerprint`.
void note_broken(
    quarantine_state& state,
    const upstream_id& target,
    const failure_domain& domain,
    const std::string& fingerprint,
    time_point now);
/// `target` refuses connections: a break shortly before was its death.
void note_refused(
    quarantine_state& state, const upstream_id& target, time_point now);
/// The directory says that `target` died.
void note_gone(
    quarantine_state& state,
    const upstream_id& target,
    const failure_domain& domain,
    const std::vector<std::string>& running,
    bool domain_lost,
    time_point now);
/// `target` is expected to go; what broke there just before is explained.
void note_notice(
    quarantine_state& state, const upstream_id& target, time_point now);
/// Another entry saw `target` die while it ran `fingerprint`.
void note_report(
    quarantine_state& state,
    const upstream_id& target,
    const failure_domain& domain,
    const std::string& fingerprint,
    time_point now);
/// A request with `fingerprint` ended well.
void note_ended_well(quarantine_state& state, const std::string& fingerprint);

/// Judges the deaths that are due.
std::vector<crash_verdict> judge(quarantine_state& state, time_point now);

/// Whether `fingerprint` must not run.
bool is_quarantined(
    const quarantine_state& state, const std::string& fingerprint);
/// Whether `fingerprint` must run apart from other suspects.
bool is_suspect(
    const quarantine_state& state,
    const std::string& fingerprint,
    time_point now);
/// Whether `fingerprint` must wait for a judgement before it runs again.
bool awaits_judgement(
    const quarantine_state& state,
    const std::string& fingerprint,
    time_point now);
/// Whether `fingerprint` has the deaths for a quarantine, shared with others.
bool is_prime_suspect(
    const quarantine_state& state, const std::string& fingerprint);

} // namespace bergamotusher::serving
