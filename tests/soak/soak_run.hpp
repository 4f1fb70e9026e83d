// One seeded run of the soak test: callers, operators and upstreams work while
// overlapping faults are injected; afterwards, without faults, the system must
// recover.
#pragma once

#include <string>
#include <vector>

namespace soak
{

struct run_options
{
    unsigned seed = 1;
    /// Duration of the phase in which faults are injected, in seconds.
    double fault_seconds = 10;
    /// Holds the settings, data folders and logs of all nodes.
    std::string folder;
};

struct run_result
{
    /// Violated guarantees, one line each.
    std::vector<std::string> violations;
    /// Injected faults, one line each.
    std::vector<std::string> faults;
    /// Number of requests that upstreams executed.
    std::size_t executions = 0;
    /// One line of counts.
    std::string summary;
};

run_result run_soak(const run_options& options);

} // namespace soak
