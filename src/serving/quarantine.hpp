// Detection of requests that crash the upstreams that run them.
//
// An unexpected death of an upstream counts against the fingerprint of every
// request that it was running; the second counted death quarantines a
// fingerprint. Not counted are a death after notice, the loss of a whole
// failure domain, and deaths of several upstreams of one domain within a second
// that have no request in common. A suspect runs apart from other suspects, so
// that the next death identifies the culprit; a suspect whose request succeeds
// is cleared.
#pragma once

#include <bergamotusher/ids.hpp>
#include <bergamotusher/time.hpp>

#include <map>
#include <set>
#include <string>
#include <vector>

namespace bergamotusher::serving
{

/// Counted deaths at which a fingerprint is quarantined.
inline constexpr std::size_t deaths_to_quarantine = 2;
/// A death is judged after this delay, by which time other deaths in its
/// failure domain have been observed.
inline constexpr duration coincidence_window = 1s;
/// A broken connection counts as a possible death for this long if nothing
/// confirms that the upstream died.
inline constexpr duration suspicion_window = 3s;
/// How long after the connection broke the death can be confirmed.
inline constexpr duration confirmation_window = 10s;
/// Two reports on one upstream within this time are the same death.
inline constexpr duration same_death_window = 5s;
/// Suspicion, quarantine and notices expire after this time.
inline constexpr duration quarantine_duration = std::chrono::hours(1);
/// Maximum number of suspected and of quarantined fingerprints.
inline constexpr std::size_t max_fingerprints = 10'000;

/// A possible or confirmed death of an upstream.
struct possible_death
{
    upstream_id target;
    failure_domain domain;
    time_point at;
    std::set<std::string> suspects;
    bool confirmed = false;
    bool under_notice = false;
    /// Learnt from another entry, so it is not reported again.
    bool reported_by_peer = false;
    bool judged = false;
};

/// A judged death that counts against a fingerprint.
struct counted_death
{
    upstream_id target;
    time_point at;
};

/// Crash evidence held by one entry.
struct quarantine_state
{
    std::vector<possible_death> possible_deaths;
    std::map<std::string, std::vector<counted_death>> counted_deaths;
    std::map<std::string, time_point> quarantined;
    /// Upstreams that gave notice, so that their death is expected.
    std::map<upstream_id, time_point> leave_notices;
};

/// Result of judging a death for one fingerprint.
struct crash_verdict
{
    std::string fingerprint;
    upstream_id target;
    failure_domain domain;
    /// Whether other entries must be told.
    bool report_to_peers = false;
    bool quarantined = false;
};

/// Records that a connection to `target` broke while it ran `fingerprint`.
void note_connection_broken(
    quarantine_state& state,
    const upstream_id& target,
    const failure_domain& domain,
    const std::string& fingerprint,
    time_point now);
/// Records that `target` refuses connections, which confirms that a recent
/// broken connection was its death.
void note_connection_refused(
    quarantine_state& state, const upstream_id& target, time_point now);
/// Records that the directory reports the death of `target`. With `domain_lost`
/// its whole failure domain is gone and the death is not evidence.
void note_upstream_gone(
    quarantine_state& state,
    const upstream_id& target,
    const failure_domain& domain,
    const std::vector<std::string>& running,
    bool domain_lost,
    time_point now);
/// Records that `target` gave notice. Deaths of `target` that are not judged
/// yet are then expected and not counted.
void note_leave_notice(
    quarantine_state& state, const upstream_id& target, time_point now);
/// Records another entry's report that `target` died while it ran
/// `fingerprint`.
void note_crash_report(
    quarantine_state& state,
    const upstream_id& target,
    const failure_domain& domain,
    const std::string& fingerprint,
    time_point now);
/// Records that a request with `fingerprint` succeeded, so that it is no longer
/// a suspect.
void note_success(quarantine_state& state, const std::string& fingerprint);

/// Judges all confirmed deaths older than `coincidence_window`, and drops
/// expired evidence.
std::vector<crash_verdict>
judge_due_deaths(quarantine_state& state, time_point now);

/// Whether `fingerprint` must not run.
bool is_quarantined(
    const quarantine_state& state, const std::string& fingerprint);
/// Whether `fingerprint` must run apart from other suspects.
bool is_suspect(
    const quarantine_state& state,
    const std::string& fingerprint,
    time_point now);
/// Whether `fingerprint` could be quarantined by deaths that are not judged
/// yet, so that it must wait for the judgement.
bool awaits_judgement(
    const quarantine_state& state,
    const std::string& fingerprint,
    time_point now);
/// Whether `fingerprint` has enough deaths for a quarantine but shares them
/// with other suspects.
bool is_quarantine_candidate(
    const quarantine_state& state, const std::string& fingerprint);

} // namespace bergamotusher::serving
