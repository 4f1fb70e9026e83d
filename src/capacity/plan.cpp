#include "capacity/plan.hpp"

#include <algorithm>
#include <numeric>

namespace bergamotusher::capacity
{

namespace
{

/// Paid time lost by one reclaim: instance start, cache warm-up and recomputed
/// tokens.
constexpr double paid_hours_lost_per_reclaim = 0.1;
/// More starts in one plan would form a burst of their own.
constexpr std::size_t max_starts_per_plan = 8;

const instance_offer*
find(const std::vector<instance_offer>& offered, const offer_key& key)
{
    const auto found = std::find_if(
        offered.begin(),
        offered.end(),
        [&key](const instance_offer& kind) { return kind.key == key; });
    return found == offered.end() ? nullptr : &*found;
}

/// Capacity by failure domain, and the part of it that cannot be reclaimed.
struct fleet_capacity
{
    std::map<failure_domain, double> domains;
    double on_demand = 0;
};

void add(fleet_capacity& all, const instance_offer& kind, double sign)
{
    all.domains[kind.key.domain] += sign * kind.capacity;
    if (kind.key.paid_as == market::on_demand)
        all.on_demand += sign * kind.capacity;
}

double total(const fleet_capacity& all)
{
    return std::accumulate(
        all.domains.begin(),
        all.domains.end(),
        0.0,
        [](double sum, const auto& item) { return sum + item.second; });
}

double largest_domain_capacity(const fleet_capacity& all)
{
    double most = 0;
    for (const auto& [domain, capacity] : all.domains)
        most = std::max(most, capacity);
    return most;
}

/// Missing capacity, summed over the total demand, the loss of each failure
/// domain and the on-demand share; 0 if the demand is covered. `single_domain`
/// is true if only one failure domain is on offer, whose loss cannot be
/// covered.
double shortfall(const fleet_capacity& all, double needed, bool single_domain)
{
    const double sum = total(all);
    double missing = std::max(0.0, on_demand_share * needed - all.on_demand);
    missing += std::max(0.0, needed - sum);
    if (single_domain)
        return missing;
    for (const auto& [domain, capacity] : all.domains)
        missing += std::max(0.0, needed - (sum - capacity));
    return missing;
}

fleet_capacity planned_capacity(
    const planner_state& state,
    const std::vector<instance_offer>& offered,
    const std::vector<held_instance>& held)
{
    fleet_capacity all;
    for (const instance_offer& kind : offered)
        all.domains[kind.key.domain];
    for (const held_instance& one : held)
        if (const instance_offer* kind = find(offered, one.key);
            kind && !one.leaving)
            add(all, *kind, 1);
    for (const auto& [token, start] : state.pending)
        if (const instance_offer* kind = find(offered, start.key))
            add(all, *kind, 1);
    return all;
}

bool may_start(
    const planner_state& state, const instance_offer& kind, time_point now)
{
    const auto found = state.backoffs.find(kind.key);
    return kind.capacity > 0 &&
           (found == state.backoffs.end() || now >= found->second.until);
}

/// Lowest effective price in each failure domain, in ascending order.
std::vector<double> domain_prices(
    const planner_state& state,
    const std::vector<instance_offer>& offered,
    time_point now)
{
    std::map<failure_domain, double> least;
    for (const instance_offer& kind : offered)
    {
        if (!may_start(state, kind, now))
            continue;
        const double price = effective_price(kind);
        const auto known = least.try_emplace(kind.key.domain, price).first;
        known->second = std::min(known->second, price);
    }
    std::vector<double> prices;
    prices.reserve(least.size());
    for (const auto& [domain, price] : least)
        prices.push_back(price);
    std::sort(prices.begin(), prices.end());
    return prices;
}

/// Capacity limit of one failure domain. Spread evenly over k + 1 domains, each
/// holds needed / k, since any k of them must cover the demand. More domains
/// need less capacity in total but include more expensive ones; the k with the
/// lowest cost is chosen.
double domain_limit(const std::vector<double>& prices, double needed)
{
    double best_limit = needed;
    double best_cost = -1;
    double sum = prices.empty() ? 0 : prices.front();
    for (std::size_t k = 1; k < prices.size(); ++k)
    {
        sum += prices[k];
        const double limit = needed / static_cast<double>(k);
        const double cost = limit * sum;
        if (best_cost < 0 || cost < best_cost)
        {
            best_limit = limit;
            best_cost = cost;
        }
    }
    return best_limit;
}

/// The best offer to start next; null if the demand is covered or nothing can
/// be started.
const instance_offer* best_start(
    const planner_state& state,
    const std::vector<instance_offer>& offered,
    const fleet_capacity& all,
    double needed,
    time_point now)
{
    const bool single_domain = all.domains.size() < 2;
    const double missing = shortfall(all, needed, single_domain);
    const double limit =
        domain_limit(domain_prices(state, offered, now), needed);
    const instance_offer* best = nullptr;
    bool best_fits = false;
    for (const instance_offer& kind : offered)
    {
        if (!may_start(state, kind, now))
            continue;
        fleet_capacity with = all;
        add(with, kind, 1);
        if (shortfall(with, needed, single_domain) >= missing)
            continue;
        const bool lacks_on_demand = all.on_demand < on_demand_share * needed &&
                                     kind.key.paid_as != market::on_demand;
        const bool fits =
            !lacks_on_demand && all.domains.at(kind.key.domain) < limit;
        const bool cheaper =
            !best || effective_price(kind) < effective_price(*best);
        if (!best || (fits && !best_fits) || (fits == best_fits && cheaper))
        {
            best = &kind;
            best_fits = fits;
        }
    }
    return best;
}

void resend_unanswered(
    planner_state& state, std::vector<plan_action>& actions, time_point now)
{
    for (auto& [token, start] : state.pending)
        if (now >= start.sent + start_timeout)
        {
            start.sent = now;
            actions.push_back(start_instance{token, start.key});
        }
}

void start_missing(
    planner_state& state,
    const std::vector<instance_offer>& offered,
    fleet_capacity& all,
    double needed,
    std::vector<plan_action>& actions,
    time_point now)
{
    for (std::size_t i = 0; i < max_starts_per_plan; ++i)
    {
        const instance_offer* kind =
            best_start(state, offered, all, needed, now);
        if (!kind)
            return;
        add(all, *kind, 1);
        const std::string token =
            state.name + "-" + std::to_string(++state.sequence);
        state.pending[token] = {kind->key, now};
        actions.push_back(start_instance{token, kind->key});
    }
}

/// The instance to release, or null: first one in a failure domain that holds
/// more than `limit`, then the most expensive.
const held_instance* find_surplus(
    const std::vector<instance_offer>& offered,
    const std::vector<held_instance>& held,
    const fleet_capacity& all,
    double needed,
    double limit)
{
    const bool single_domain = all.domains.size() < 2;
    const held_instance* best = nullptr;
    std::pair<bool, double> best_rank;
    for (const held_instance& one : held)
    {
        const instance_offer* kind = find(offered, one.key);
        if (!kind || one.leaving)
            continue;
        fleet_capacity without = all;
        add(without, *kind, -1);
        if (shortfall(without, needed, single_domain) > 0)
            continue;
        const bool over = without.domains.at(kind->key.domain) >= limit;
        const std::pair rank(over, effective_price(*kind));
        if (!best || rank > best_rank)
        {
            best = &one;
            best_rank = rank;
        }
    }
    return best;
}

void release_surplus(
    planner_state& state,
    const held_instance* surplus,
    std::vector<plan_action>& actions,
    time_point now)
{
    if (!surplus)
    {
        state.surplus_since.reset();
        return;
    }
    if (!state.surplus_since)
        state.surplus_since = now;
    if (now < *state.surplus_since + release_delay)
        return;
    state.surplus_since = now;
    actions.push_back(release_instance{surplus->id});
}

} // namespace

std::vector<plan_action> plan(
    planner_state& state,
    const std::vector<instance_offer>& offered,
    const std::vector<held_instance>& held,
    double needed,
    time_point now)
{
    std::vector<plan_action> actions;
    resend_unanswered(state, actions, now);
    fleet_capacity all = planned_capacity(state, offered, held);
    start_missing(state, offered, all, needed, actions, now);
    const double kept = release_margin * needed;
    const double limit = domain_limit(domain_prices(state, offered, now), kept);
    const held_instance* surplus =
        state.pending.empty() ? find_surplus(offered, held, all, kept, limit)
                              : nullptr;
    release_surplus(state, surplus, actions, now);
    return actions;
}

void on_started(planner_state& state, const std::string& token)
{
    const auto found = state.pending.find(token);
    if (found == state.pending.end())
        return;
    state.backoffs.erase(found->second.key);
    state.pending.erase(found);
}

void on_refused(planner_state& state, const std::string& token, time_point now)
{
    const auto found = state.pending.find(token);
    if (found == state.pending.end())
        return;
    backoff& wait = state.backoffs[found->second.key];
    const std::uint32_t doublings = std::min(wait.refusals, 10U);
    wait.until = now + std::min<duration>(
                           longest_backoff, first_backoff * (1U << doublings));
    ++wait.refusals;
    state.pending.erase(found);
}

double effective_price(const instance_offer& kind)
{
    const double wasted_share =
        kind.key.paid_as == market::reclaimable
            ? kind.reclaims_per_hour * paid_hours_lost_per_reclaim
            : 0;
    return kind.price_per_hour * (1 + wasted_share) /
           std::max(kind.capacity, 1e-9);
}

double capacity_after_loss(
    const std::vector<instance_offer>& offered,
    const std::vector<held_instance>& held)
{
    const fleet_capacity all = planned_capacity({}, offered, held);
    return total(all) - largest_domain_capacity(all);
}

} // namespace bergamotusher::capacity
