// Decisions that an entry makes alone: which version a request gets, and when
// to stop sending to a version on trial before the leader has decided.
#pragma once

#include "rollout/sequential_test.hpp"

#include <bergamotusher/configuration.hpp>
#include <bergamotusher/evidence.hpp>
#include <bergamotusher/time.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace bergamotusher::rollout
{

/// How long an entry's own stop lasts if the leader does not decide.
inline constexpr duration local_stop_time = 60s;

/// Policy with higher thresholds than the leader's, since an entry sees only
/// part of the evidence.
inline constexpr test_policy local_policy{12, 14, 4, 9, 4};

/// An entry's tests of the version on trial at one service.
struct local_tests
{
    version_name version;
    comparison known;
    std::vector<test_stream> tests;
    std::optional<time_point> stopped;
};

/// An entry's own tests, by service; services without a trial have none.
using local_evidence = std::map<service_name, local_tests>;

/// A version to which this entry has stopped sending requests.
using stopped_version = std::pair<service_name, version_name>;

/// Adds the entry's samples, and drops the tests of trials that are no longer
/// in `in_force`.
void add_local_samples(
    local_evidence& known,
    const configuration& in_force,
    const std::vector<evidence_sample>& samples,
    time_point now);

/// Runs the tests and returns the versions to which this entry must send
/// nothing now.
std::vector<stopped_version> stopped_versions(
    local_evidence& known,
    time_point now,
    const test_policy& policy = local_policy);

/// Chooses the version, with its upstreams, for one request according to the
/// shares, leaving out the `stopped` versions unless no other is left. `draw`
/// is uniform over all values. Returns an empty version, which stands for any,
/// if there are no shares.
version_share pick_version(
    const std::vector<version_share>& shares,
    const std::vector<version_name>& stopped,
    std::uint64_t draw);

} // namespace bergamotusher::rollout
