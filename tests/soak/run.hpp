// One seeded run: callers, operators and upstreams at work while faults come in
// series and overlap, then a calm end in which everything must hold again.
#pragma once

#include <string>
#include <vector>

namespace soak
{

struct run_options
{
    unsigned seed = 1;
    /// How long faults begin.
    double seconds = 10;
    /// For settings, disks and logs of the run.
    std::string folder;
};

struct run_result
{
    /// Broken promises, one line each.
    std::vector<std::string> broken;
    /// What was done, one line each.
    std::vector<std::string> faults;
    std::size_t runs = 0;
};

run_result play(const run_options& options);

} // namespace soak
