// Limits on open connections, per account and in total.
#pragma once

#include <bergamotusher/ids.hpp>

#include <cstddef>
#include <cstdint>
#include <unordered_map>

namespace bergamotusher::admission
{

/// Counts of the open connections at one entry.
struct connection_gate
{
    /// Limit for all accounts together.
    std::size_t limit = 4'096;
    std::size_t open = 0;
    std::unordered_map<account_id, std::size_t> by_account;
    std::uint64_t refused = 0;
};

/// Counts a new connection of `account` if both limits permit it; else returns
/// false.
bool open_connection(
    connection_gate& gate, const account_id& account, std::size_t limit);

/// Records that a counted connection is closed.
void close_connection(connection_gate& gate, const account_id& account);

} // namespace bergamotusher::admission
