#include "capacity/plan.hpp"

#include <algorithm>
#include <numeric>

namespace bergamotusher::capacity
{

namespace
{

/// Paid time that one reclaim wastes: start, warming of the cache, and the
/// tokens computed again; in hours.
constexpr double hours_lost_by_reclaim = 0.1;
/// More starts in one plan would be a wave of our own.
constexpr std::size_t most_starts = 8;

const stock* find(const std::vector<stock>& offered, const stock_key& key)
{
    const auto found = std::find_if(
        offered.begin(),
        offered.end(),
        [&key](const stock& kind) { return kind.key == key; });
    return found == offered.end() ? nullptr : &*found;
}

/// Capacity by failure domain, and that which cannot be reclaimed.
struct fleet
{
    std::map<failure_domain, double> domains;
    double on_demand = 0;
};

void add(fleet& all, const stock& kind, double sign)
{
    all.domains[kind.key.domain] += sign * kind.capacity;
    if (kind.key.paid_as == market::on_demand)
        all.on_demand += sign * kind.capacity;
}

double total(const fleet& all)
{
    return std::accumulate(
        all.domains.begin(),
        all.domains.end(),
        0.0,
        [](double sum, const auto& item) { return sum + item.second; });
}

double worst_domain(const fleet& all)
{
    double most = 0;
    for (const auto& [domain, capacity] : all.domains)
        most = std::max(most, capacity);
    return most;
}

/// How much is missing, over the loss of each failure domain and the part on
/// demand; 0 if nothing is. `single` if only one failure domain is on offer.
double shortfall(const fleet& all, double needed, bool single)
{
    const double sum = total(all);
    double missing = std::max(0.0, on_demand_part * needed - all.on_demand);
    missing += std::max(0.0, needed - sum);
    if (single)
        return missing;
    for (const auto& [domain, capacity] : all.domains)
        missing += std::max(0.0, needed - (sum - capacity));
    return missing;
}

fleet present(
    const planner_state& state,
    const std::vector<stock>& offered,
    const std::vector<held_instance>& held)
{
    fleet all;
    for (const stock& kind : offered)
        all.domains[kind.key.domain];
    for (const held_instance& one : held)
        if (const stock* kind = find(offered, one.key); kind && !one.leaving)
            add(all, *kind, 1);
    for (const auto& [token, start] : state.pending)
        if (const stock* kind = find(offered, start.key))
            add(all, *kind, 1);
    return all;
}

bool may_start(const planner_state& state, const stock& kind, time_point now)
{
    const auto found = state.backoffs.find(kind.key);
    return kind.capacity > 0 &&
           (found == state.backoffs.end() || now >= found->second.until);
}

/// The least effective price in each failure domain, cheapest first.
std::vector<double> domain_prices(
    const planner_state& state,
    const std::vector<stock>& offered,
    time_point now)
{
    std::map<failure_domain, double> least;
    for (const stock& kind : offered)
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

/// The most that one failure domain should hold. Spread evenly over k + 1
/// domains, each holds needed / k, since any k of them must carry the demand;
/// more domains need less in all but include dearer ones.
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

/// The kind to start next, or null if nothing is missing or can be started.
const stock* best_start(
    const planner_state& state,
    const std::vector<stock>& offered,
    const fleet& all,
    double needed,
    time_point now)
{
    const bool single = all.domains.size() < 2;
    const double missing = shortfall(all, needed, single);
    const double limit =
        domain_limit(domain_prices(state, offered, now), needed);
    const stock* best = nullptr;
    bool best_fits = false;
    for (const stock& kind : offered)
    {
        if (!may_start(state, kind, now))
            continue;
        fleet with = all;
        add(with, kind, 1);
        if (shortfall(with, needed, single) >= missing)
            continue;
        const bool only_on_demand = all.on_demand < on_demand_part * needed &&
                                    kind.key.paid_as != market::on_demand;
        const bool fits =
            !only_on_demand && all.domains.at(kind.key.domain) < limit;
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

void resend(
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
    const std::vector<stock>& offered,
    fleet& all,
    double needed,
    std::vector<plan_action>& actions,
    time_point now)
{
    for (std::size_t i = 0; i < most_starts; ++i)
    {
        const stock* kind = best_start(state, offered, all, needed, now);
        if (!kind)
            return;
        add(all, *kind, 1);
        const std::string token =
            state.name + "-" + std::to_string(++state.sequence);
        state.pending[token] = {kind->key, now};
        actions.push_back(start_instance{token, kind->key});
    }
}

/// The instance to do without, or null: first one of a failure domain that
/// holds more than `limit`, then the dearest.
const held_instance* dispensable(
    const std::vector<stock>& offered,
    const std::vector<held_instance>& held,
    const fleet& all,
    double needed,
    double limit)
{
    const bool single = all.domains.size() < 2;
    const held_instance* best = nullptr;
    std::pair<bool, double> best_rank;
    for (const held_instance& one : held)
    {
        const stock* kind = find(offered, one.key);
        if (!kind || one.leaving)
            continue;
        fleet without = all;
        add(without, *kind, -1);
        if (shortfall(without, needed, single) > 0)
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
    const std::vector<stock>& offered,
    const std::vector<held_instance>& held,
    double needed,
    time_point now)
{
    std::vector<plan_action> actions;
    resend(state, actions, now);
    fleet all = present(state, offered, held);
    start_missing(state, offered, all, needed, actions, now);
    const double kept = release_margin * needed;
    const double limit = domain_limit(domain_prices(state, offered, now), kept);
    const held_instance* surplus =
        state.pending.empty() ? dispensable(offered, held, all, kept, limit)
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

double effective_price(const stock& kind)
{
    const double wasted = kind.key.paid_as == market::reclaimable
                              ? kind.reclaims_per_hour * hours_lost_by_reclaim
                              : 0;
    return kind.price_per_hour * (1 + wasted) / std::max(kind.capacity, 1e-9);
}

double capacity_after_loss(
    const std::vector<stock>& offered, const std::vector<held_instance>& held)
{
    const fleet all = present({}, offered, held);
    return total(all) - worst_domain(all);
}

} // namespace bergamotusher::capacity
