// Sharing of an account's rate limits among the entries.
//
// Half of a limit is divided evenly among all entries and needs no lease, so an
// entry that is cut off can still serve with it. The other half is leased out
// by demand. One ledger grants the leases and never grants more than that half
// in total. A lease expires at the entry before it expires in the ledger.
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

/// Share of a limit that the entries have without a lease.
inline constexpr double guaranteed_share = 0.5;
/// Duration of a lease as the ledger counts it.
inline constexpr duration budget_lease = 6s;
/// Duration as the entry counts it, from the time of its request. Shorter than
/// `budget_lease`, so that the ledger never grants the same share twice.
inline constexpr duration budget_lease_at_entry = 5s;
/// Interval at which entries renew their leases.
inline constexpr duration budget_renewal = 2s;
/// Burst size of a bucket, in seconds of its rate.
inline constexpr double burst_seconds = 1;

/// A share of an account's limits, 0 to 1, granted until a given time.
struct budget_grant
{
    double share = 0;
    time_point until;
};

/// Requested and granted shares of one entry. Any grant that has not expired
/// may be in use, since answers can get lost.
struct entry_grants
{
    /// The share that the entry last requested, 0 to 1.
    double requested_share = 0;
    std::vector<budget_grant> outstanding;
};

/// The leases of all accounts. Kept by one control node at a time; a new one
/// must wait one `budget_lease` before its first grant, so that leases that it
/// does not know of have expired.
struct budget_ledger
{
    std::map<account_id, std::map<node_id, entry_grants>> grants;
};

/// Grants `entry` a share of the leased half. `wanted` is the share of the
/// account's limit that the entry could use; the grant may be lower, down to 0.
double grant_share(
    budget_ledger& ledger,
    const account_id& account,
    const node_id& entry,
    double wanted,
    time_point now);

/// Budget of one account at one entry.
struct account_budget
{
    token_bucket requests;
    token_bucket tokens;
    /// Leased share of the limits; valid until `lease_until`.
    double leased_share = 0;
    time_point lease_until;
    /// Demand since the last call of `wanted_share`, whether admitted or not.
    double demanded_tokens = 0;
    double demanded_requests = 0;
    time_point demand_since;
};

/// The initial budget of an entry without a lease. `entries` is the number of
/// entries that share the limits.
account_budget
initial_budget(const account& limits, std::size_t entries, time_point now);

/// Applies a granted share. `asked_at` is when the entry requested it; the
/// answer to an earlier request than the one in use is ignored.
void apply_lease(account_budget& budget, double share, time_point asked_at);

/// The share of the limits that the entry could use, by its demand since the
/// last call; input to `grant_share`.
double
wanted_share(account_budget& budget, const account& limits, time_point now);

/// Admits one request of `tokens`, or returns how long to wait until it would
/// be admitted.
std::optional<duration> try_spend(
    account_budget& budget,
    const account& limits,
    std::size_t entries,
    double tokens,
    time_point now);

} // namespace bergamotusher::admission
