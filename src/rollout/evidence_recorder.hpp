// Sums up, at one entry, the results of attempts on the versions under a move.
//
// A broken connection counts against a version only if the upstream process
// crashed by itself. It is therefore held back for `crash_grace_period`, so
// that a reclaim notice or the loss of the failure domain can still explain it.
#pragma once

#include <bergamotusher/configuration.hpp>
#include <bergamotusher/evidence.hpp>
#include <bergamotusher/serving.hpp>

#include <map>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace bergamotusher::rollout
{

/// How long a broken connection is held back before it counts as a crash;
/// connections to one upstream that break within this time count as one crash.
inline constexpr duration crash_grace_period = 1s;
/// How long connections that break on an upstream are ignored after
/// `exclude_crashes`.
inline constexpr duration exclusion_time = 60s;

/// A broken connection that does not count as a crash yet.
struct broken_attempt
{
    time_point at;
    evidence_key key;
    upstream_id target;
};

/// Results that one entry has observed and not yet reported.
struct evidence_recorder
{
    /// Services under a version move; others are not recorded.
    std::set<service_name> watched;
    std::map<std::pair<evidence_key, upstream_id>, evidence_sample> sums;
    std::vector<broken_attempt> broken;
    std::map<upstream_id, time_point> excluded;
};

/// A report from an entry to the leader.
struct evidence_report
{
    std::uint64_t sequence = 0;
    std::vector<evidence_sample> samples;
    std::vector<std::pair<service_name, version_name>> stopped;

    bool operator==(const evidence_report&) const = default;
};

/// Sets the recorded services to those that have a version on trial in
/// `in_force`.
void set_recorded_services(
    evidence_recorder& recorder, const configuration& in_force);

/// Records the result of one attempt.
void record_attempt(
    evidence_recorder& recorder,
    const attempt_observed& observed,
    time_point now);

/// Records that the upstream was reclaimed, announced that it leaves, or was
/// lost with its failure domain: connections that break on it do not count as
/// crashes.
void exclude_crashes(
    evidence_recorder& recorder, const upstream_id& target, time_point now);

/// Returns the sums since the last call and resets them.
std::vector<evidence_sample>
take_samples(evidence_recorder& recorder, time_point now);

/// Encodes `report` for the leader.
std::string encode(const evidence_report& report);
/// Parses the output of `encode`; empty if it is malformed.
std::optional<evidence_report> parse_evidence(std::string_view encoded);

} // namespace bergamotusher::rollout
