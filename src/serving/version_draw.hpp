// Which versions a request may run on, by the traffic split of its service.
#pragma once

#include <bergamotusher/configuration.hpp>

#include <cstdint>
#include <vector>

namespace bergamotusher::serving
{

/// Versions to ask routing for at once; empty `versions` is any.
struct version_candidate
{
    std::vector<version_name> versions;
    std::vector<upstream_id> only;
};

/// Candidates in the order in which they are asked for. A first attempt
/// draws by the shares; a later one stays off versions that are on trial
/// and goes on with `current` where it can.
std::vector<version_candidate> version_candidates(
    const configuration& config,
    const service_name& service,
    const version_name& current,
    std::uint64_t draw);

} // namespace bergamotusher::serving
