// The last reports of an entry, as a control node keeps them. Private to the
// control service's files.
#pragma once

#include "site/control_service.hpp"

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

/// The last report of one run of an entry.
struct control_service::entry_load
{
    time_point reported_at;
    /// By service, version and route, since the entry's start.
    std::map<std::tuple<std::string, std::string, std::string>, version_counts>
        counts;
    /// Value of `counts` when the version move that is being judged began.
    std::map<std::tuple<std::string, std::string, std::string>, version_counts>
        baseline;
    std::map<service_name, service_demand> demands;
};

} // namespace bergamotusher::site
