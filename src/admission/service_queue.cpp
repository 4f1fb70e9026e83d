#include "admission/service_queue.hpp"

namespace bergamotusher::admission
{

std::uint32_t
rank_of(std::optional<std::uint32_t> account_rank, std::uint32_t route_rank)
{
    return account_rank.value_or(route_rank);
}

} // namespace bergamotusher::admission
