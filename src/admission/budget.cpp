#include "admission/budget.hpp"

#include <algorithm>

namespace bergamotusher::admission
{

namespace
{

constexpr double leasable_share = 1 - guaranteed_share;
/// Factor on the observed demand, so that growing demand is not limited until
/// the next renewal.
constexpr double demand_headroom = 1.25;

/// The share that the entry may use now: guaranteed plus leased.
double
usable_share(const account_budget& budget, std::size_t entries, time_point now)
{
    const double guaranteed =
        guaranteed_share /
        static_cast<double>(std::max<std::size_t>(entries, 1));
    return now < budget.lease_until ? guaranteed + budget.leased_share
                                    : guaranteed;
}

void set_share(
    account_budget& budget, const account& limits, double share, time_point now)
{
    const double requests = limits.requests_per_second * share;
    const double tokens = limits.tokens_per_second * share;
    set_rate(budget.requests, requests, requests * burst_seconds, now);
    set_rate(budget.tokens, tokens, tokens * burst_seconds, now);
}

/// The largest share that the entry may be using.
double max_possible_share(const entry_grants& entry)
{
    double most = 0;
    for (const budget_grant& grant : entry.outstanding)
        most = std::max(most, grant.share);
    return most;
}

/// Removes expired grants, and entries without any.
void drop_expired_grants(
    std::map<node_id, entry_grants>& grants, time_point now)
{
    for (auto& [id, entry] : grants)
        std::erase_if(
            entry.outstanding,
            [now](const budget_grant& grant) { return grant.until <= now; });
    std::erase_if(
        grants,
        [](const auto& item) { return item.second.outstanding.empty(); });
}

/// The entry's grant if the requests of all entries are scaled down in
/// proportion.
double
proportional_grant(const std::map<node_id, entry_grants>& grants, double own)
{
    double wanted = 0;
    for (const auto& [id, entry] : grants)
        wanted += entry.requested_share;
    return wanted <= leasable_share ? own : own / wanted * leasable_share;
}

} // namespace

double grant_share(
    budget_ledger& ledger,
    const account_id& account,
    const node_id& entry,
    double wanted,
    time_point now)
{
    auto& grants = ledger.grants[account];
    drop_expired_grants(grants, now);
    entry_grants& own = grants[entry];
    own.requested_share = std::clamp(wanted, 0.0, leasable_share);
    double others = 0;
    for (const auto& [id, other] : grants)
        if (id != entry)
            others += max_possible_share(other);
    const double free = std::max(0.0, leasable_share - others);
    const double granted =
        std::min(proportional_grant(grants, own.requested_share), free);
    own.outstanding.push_back({granted, now + budget_lease});
    return granted;
}

account_budget
initial_budget(const account& limits, std::size_t entries, time_point now)
{
    account_budget budget;
    budget.demand_since = now;
    budget.requests.filled_at = now;
    budget.tokens.filled_at = now;
    set_share(budget, limits, usable_share(budget, entries, now), now);
    budget.requests.level = budget.requests.burst;
    budget.tokens.level = budget.tokens.burst;
    return budget;
}

void apply_lease(account_budget& budget, double share, time_point asked_at)
{
    if (asked_at + budget_lease_at_entry <= budget.lease_until)
        return;
    budget.leased_share = std::clamp(share, 0.0, leasable_share);
    budget.lease_until = asked_at + budget_lease_at_entry;
}

double
wanted_share(account_budget& budget, const account& limits, time_point now)
{
    const double seconds =
        std::max(0.001, to_seconds(now - budget.demand_since));
    const double tokens = budget.demanded_tokens / seconds /
                          std::max(1.0, limits.tokens_per_second);
    const double requests = budget.demanded_requests / seconds /
                            std::max(0.001, limits.requests_per_second);
    budget.demanded_tokens = 0;
    budget.demanded_requests = 0;
    budget.demand_since = now;
    return std::min(1.0, std::max(tokens, requests) * demand_headroom);
}

std::optional<duration> try_spend(
    account_budget& budget,
    const account& limits,
    std::size_t entries,
    double tokens,
    time_point now)
{
    budget.demanded_tokens += tokens;
    budget.demanded_requests += 1;
    set_share(budget, limits, usable_share(budget, entries, now), now);
    if (!has(budget.requests, 1, now) || !has(budget.tokens, tokens, now))
        return std::max(
            wait_for(budget.requests, 1, now),
            wait_for(budget.tokens, tokens, now));
    take(budget.requests, 1, now);
    take(budget.tokens, tokens, now);
    return std::nullopt;
}

} // namespace bergamotusher::admission
