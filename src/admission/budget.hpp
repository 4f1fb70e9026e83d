// How an account's limits are shared among the entries.
//
// Half of a limit is divided evenly among all entries and needs no lease: an
// entry that is cut off still serves by it. The other half is leased out by
// demand. One ledger grants the leases and never grants more than that half at
// a time; a lease ends at the entry before it ends in the ledger.
#pragma once

#include "admission/token_bucket.hpp"

#include <bergamotusher/configuration.hpp>
#include <bergamotusher/ids.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace bergamotusher::admission
{

/// Part of a limit that entries have without a lease.
inline constexpr double guaranteed_part = 0.5;
/// Length of a lease as the ledger counts it.
inline constexpr duration budget_lease = 6s;
/// Length as the entry counts it, from the time it asked.
inline constexpr duration budget_lease_at_entry = 5s;
/// How often entries ask anew.
inline constexpr duration budget_renewal = 2s;
/// A bucket holds as much as its rate gives in this time, in seconds.
inline constexpr double burst_seconds = 1;

/// A share of an account's limits, 0 to 1, granted until a time.
struct budget_grant
{
    double share = 0;
    time_point until;
};

/// What one entry asked for and may hold. Any grant that has not ended may be
/// the one in use, since answers get lost.
struct entry_grants
{
    /// What the entry last asked for, 0 to 1.
    double wanted = 0;
    std::vector<budget_grant> outstanding;
};

/// The leases of all accounts; kept by one control instance at a time, which
/// waits one `budget_lease` before its first grant.
struct budget_ledger
{
    std::map<account_id, std::map<node_id, entry_grants>> grants;
};

/// Grants `entry` a share of the leased part. `wanted` is the share of the
/// account's limit that the entry could use; the grant may be less, down to 0.
double grant_share(
    budget_ledger& ledger,
    const account_id& account,
    const node_id& entry,
    double wanted,
    time_point now);

/// One account's budget at one entry.
struct account_budget
{
    token_bucket requests;
    token_bucket tokens;
    /// Leased share of the limits; counts until `lease_until`.
    double leased_share = 0;
    time_point lease_until;
    /// Demand since the last ask, admitted or not.
    double demanded_tokens = 0;
    double demanded_requests = 0;
    time_point counted_from;
};

/// The budget of an entry that has no lease yet, one of `entries`.
account_budget
initial_budget(const account& limits, std::size_t entries, time_point now);

/// Takes a granted share; `asked_at` is when the entry asked for it. The answer
/// to an earlier ask is ignored.
void take_lease(account_budget& budget, double share, time_point asked_at);

/// The share of the limits that the entry could use by its demand since the
/// last call, for `grant_share`.
double
wanted_share(account_budget& budget, const account& limits, time_point now);

/// Admits one request of `tokens`, or tells how long to wait for it.
std::optional<duration> spend(
    account_budget& budget,
    const account& limits,
    std::size_t entries,
    double tokens,
    time_point now);

} // namespace bergamotusher::admission
