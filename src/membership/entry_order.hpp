// The order in which a caller should use the entries.
//
// All entries give the callers of one account the same few entries, so that
// the account's prompt cache estimates and limits are concentrated there. The
// second entry is in another failure domain than the first, if there is one.
// Among these, an entry in the caller's own failure domain comes first.
// Draining entries are not included.
#pragma once

#include <bergamotusher/ids.hpp>
#include <bergamotusher/time.hpp>

#include <string>
#include <vector>

namespace bergamotusher::membership
{

/// How long callers may cache the answer.
inline constexpr std::chrono::seconds entry_ttl = 5s;
/// Number of entries that the callers of one account use.
inline constexpr std::size_t entries_per_account = 2;

/// An entry as known to its peers.
struct entry_address
{
    node_id id;
    /// IP:PORT for callers.
    std::string address;
    failure_domain domain;
    bool draining = false;
    /// The entry was heard from within its lease.
    bool alive = true;

    bool operator==(const entry_address&) const = default;
};

/// The entries for callers of `account`, best first. `near` is the caller's
/// failure domain; empty if it is not known. If all entries that are alive are
/// draining, they are returned nevertheless.
std::vector<entry_address> order_entries(
    std::vector<entry_address> entries,
    const account_id& account,
    const failure_domain& near);

/// The body of the answer to `GET /v1/entries`.
std::string entries_json(const std::vector<entry_address>& ordered);

} // namespace bergamotusher::membership
