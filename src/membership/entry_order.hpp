// The answer to a caller that asks which entries to use.
//
// Callers of one account are sent to few entries, the same ones whoever
// answers, so that prefix views and budgets stay together. The second one
// stands in another failure domain than the first, where there is one. An entry
// in the caller's own failure domain goes first among these. Draining entries
// are left out at once.
#pragma once

#include <bergamotusher/ids.hpp>
#include <bergamotusher/time.hpp>

#include <string>
#include <vector>

namespace bergamotusher::membership
{

/// How long callers may keep the answer.
inline constexpr std::chrono::seconds entry_ttl = 5s;
/// Entries that callers of one account share.
inline constexpr std::size_t entries_per_account = 2;

/// One entry, as its peers know it.
struct entry_address
{
    node_id id;
    /// IP:PORT for callers.
    std::string address;
    failure_domain domain;
    bool draining = false;
    /// Heard of within its lease.
    bool alive = true;

    bool operator==(const entry_address&) const = default;
};

/// The entries for callers of `account`, best first. `near` is the caller's
/// failure domain; empty if it is not known. When every entry is draining or
/// silent, those that are alive are given all the same.
std::vector<entry_address> order_entries(
    std::vector<entry_address> entries,
    const account_id& account,
    const failure_domain& near);

/// The body of the answer to `GET /v1/entries`.
std::string entries_json(const std::vector<entry_address>& ordered);

} // namespace bergamotusher::membership
