// Sums up, at one entry, what attempts showed of the versions under a move.
//
// A broken connection speaks against a version only if the upstream's process
// died by itself: it is held back for a while, so that a reclaim notice or the
// loss of the failure domain can still excuse it.
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

/// How long a broken connection waits for an excuse; attempts of one upstream
/// that break within it are one crash.
inline constexpr duration excuse_time = 1s;
/// How long an excuse holds.
inline constexpr duration excused_time = 60s;

/// A connection that broke and has no excuse yet.
struct broken_attempt
{
    time_point at;
    evidence_key key;
    upstream_id target;
};

/// What one entry has seen and not yet reported.
struct evidence_recorder
{
    /// Services under a move; others are not recorded.
    std::set<service_name> watched;
    std::map<std::pair<evidence_key, upstream_id>, evidence_sample> sums;
    std::vector<broken_attempt> broken;
    std::map<upstream_id, time_point> excused;
};

/// One report of an entry to the leader.
struct evidence_report
{
    std::uint64_t sequence = 0;
    std::vector<evidence_sample> samples;
    std::vector<std::pair<service_name, version_name>> stopped;

    bool operator==(const evidence_report&) const = default;
};

/// Records the services that `in_force` has a version of on trial.
void watch(evidence_recorder& recorder, const configuration& in_force);

/// Counts what one attempt showed.
void observe(
    evidence_recorder& recorder,
    const attempt_observed& observed,
    time_point now);

/// The upstream was reclaimed, said that it leaves, or was lost with its
/// failure domain: connections that break on it are no evidence.
void excuse(
    evidence_recorder& recorder, const upstream_id& target, time_point now);

/// The sums since the last call, which it empties.
std::vector<evidence_sample> take(evidence_recorder& recorder, time_point now);

/// Encodes `report` for the leader.
std::string encode(const evidence_report& report);
/// Reads what `encode` wrote; nothing if it cannot be read.
std::optional<evidence_report> parse_evidence(std::string_view encoded);

} // namespace bergamotusher::rollout
