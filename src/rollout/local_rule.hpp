// What an entry decides alone: which version a request gets, and when to stop
// sending to a version on trial before the leader has ruled.
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

/// How long an entry's own stop lasts if the leader does not rule.
inline constexpr duration local_stop_time = 60s;

/// An entry has a part of the evidence only, so it asks for more of it.
inline constexpr test_policy local_policy{12, 4, 9, 4};

/// One entry's own tests of the version on trial at one service.
struct local_tests
{
    version_name version;
    comparison known;
    std::vector<test_stream> tests;
    std::optional<time_point> stopped;
};

/// An entry's own evidence, by service; services without a trial have none.
using local_evidence = std::map<service_name, local_tests>;

/// A version that this entry has stopped.
using stopped_version = std::pair<service_name, version_name>;

/// Adds what the entry saw, and drops trials that `in_force` does not have.
void absorb(
    local_evidence& known,
    const configuration& in_force,
    const std::vector<evidence_sample>& samples,
    time_point now);

/// The versions that this entry sends nothing to now.
std::vector<stopped_version> local_verdict(
    local_evidence& known,
    time_point now,
    const test_policy& policy = local_policy);

/// The version, and its upstreams, for one request: by the shares, without
/// the `stopped` versions as long as another one is left. `draw` is uniform
/// over all values. A service without shares takes any version.
version_share pick_version(
    const std::vector<version_share>& shares,
    const std::vector<version_name>& stopped,
    std::uint64_t draw);

} // namespace bergamotusher::rollout
