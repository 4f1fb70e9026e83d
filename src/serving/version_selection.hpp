// Selection of the versions that a request may run on, by the traffic split of
// its service.
#pragma once

#include <bergamotusher/configuration.hpp>

#include <cstdint>
#include <vector>

namespace bergamotusher::serving
{

/// One query to routing. Empty `versions` means any version.
struct version_candidate
{
    std::vector<version_name> versions;
    std::vector<upstream_id> only;
};

/// Returns the candidates in the order in which routing is asked. A first
/// attempt draws a version by its share. A later one avoids versions on trial
/// and prefers `current`.
std::vector<version_candidate> version_candidates(
    const configuration& config,
    const service_name& service,
    const version_name& current,
    std::uint64_t draw);

} // namespace bergamotusher::serving
