// Sums the answers that entries report into the evidence for a version move.
#pragma once

#include "site/move_policy.hpp"

#include <map>
#include <string>
#include <tuple>

namespace bergamotusher::site
{

/// Answers of one version on one route since the entry's start.
struct version_counts
{
    std::uint64_t successes = 0;
    std::uint64_t failures = 0;
    std::uint64_t latency_samples = 0;
    double log_latency_sum = 0;
};

/// By service, version and route.
using reported_counts =
    std::map<std::tuple<std::string, std::string, std::string>, version_counts>;

/// Adds what one entry counted since `baseline` to the evidence by route.
/// Answers of rejected versions are no evidence of the old version: requests
/// that they still run would hide that the target is bad as well.
void add_evidence(
    std::map<std::string, version_evidence>& routes,
    const version_move& move,
    const reported_counts& counts,
    const reported_counts& baseline);

} // namespace bergamotusher::site
