// Who goes first where requests of one service compete.
#pragma once

#include <cstdint>
#include <optional>

namespace bergamotusher::admission
{

/// The rank of a request, where 0 is the most urgent: its account's, else its
/// route's.
std::uint32_t
rank_of(std::optional<std::uint32_t> account_rank, std::uint32_t route_rank);

} // namespace bergamotusher::admission
