#include "site/rent_policy.hpp"

#include <algorithm>
#include <cmath>

namespace bergamotusher::site
{

namespace
{

/// The fewest upstreams that a service is planned with: one for each of the
/// usual failure domains.
constexpr double wanted_least = 3;

double recent_want(
    const rent_options& options,
    rent_state& state,
    const service_name& service,
    const service_demand& demand,
    time_point now)
{
    auto& wanted = state.wanted[service];
    wanted.erase(
        std::remove_if(
            wanted.begin(),
            wanted.end(),
            [&](const auto& each) { return each.first <= now; }),
        wanted.end());
    const double now_wanted = std::max(
        demand.requests / options.requests_each,
        demand.prompt_tokens / options.prompt_tokens_each);
    // Only values that no later one exceeds can still be the highest.
    while (!wanted.empty() && wanted.back().second <= now_wanted)
        wanted.pop_back();
    wanted.emplace_back(now + options.memory, now_wanted);
    return std::max(wanted.front().second, wanted_least);
}

std::uint32_t present(const upstream_directory& directory, const rent_key& key)
{
    std::uint32_t count = 0;
    for (const auto& [id, each] : directory.upstreams)
        if (each.value.service == key.service &&
            each.value.domain == key.domain &&
            each.value.state == upstream_state::ready &&
            each.value.reclaimable == (key.paid_as == market::reclaimable))
            ++count;
    return count;
}

bool is_dry(const rent_state& state, const rent_key& key, time_point now)
{
    const auto found = state.orders.find(key);
    return found != state.orders.end() && now < found->second.dry_until;
}

} // namespace

std::vector<wanted_count> orders_due(
    const rent_options& options,
    rent_state& state,
    const service& service,
    const service_demand& demand,
    const upstream_directory& directory,
    time_point now)
{
    if (!service.renting || service.renting->prices.empty())
        return {};
    const renting_terms& terms = *service.renting;
    const double need = recent_want(options, state, service.name, demand, now) *
                        options.headroom;
    failure_domain cheapest = terms.prices.begin()->first;
    std::vector<failure_domain> with_reclaimable;
    for (const auto& [domain, price] : terms.prices)
    {
        if (price < terms.prices.at(cheapest))
            cheapest = domain;
        const rent_key key{service.name, domain, market::reclaimable};
        if (terms.reclaimable_price > 0 && !is_dry(state, key, now))
            with_reclaimable.push_back(domain);
    }
    // One domain's reclaimable upstreams can go at once.
    const auto domains = with_reclaimable.size();
    const double sharers =
        static_cast<double>(std::max<std::size_t>(domains, 2) - 1);
    const auto reclaimable_each =
        static_cast<std::uint32_t>(std::ceil(need / sharers));
    std::uint32_t on_demand = options.on_demand_least;
    if (domains == 0)
        on_demand =
            std::max(on_demand, static_cast<std::uint32_t>(std::ceil(need)));
    std::vector<wanted_count> wanted;
    for (const auto& [domain, price] : terms.prices)
    {
        const rent_key reclaimable{service.name, domain, market::reclaimable};
        const rent_key paid{service.name, domain, market::on_demand};
        const bool can =
            std::find(
                with_reclaimable.begin(), with_reclaimable.end(), domain) !=
            with_reclaimable.end();
        std::uint32_t spot = can ? reclaimable_each : 0;
        std::uint32_t fixed = domain == cheapest ? on_demand : 0;
        // The bounds are on both markets together.
        if (!can && fixed == 0)
            fixed = terms.least;
        spot = std::min(spot, terms.most > fixed ? terms.most - fixed : 0);
        fixed = std::min(fixed, terms.most);
        if (can)
            wanted.push_back({reclaimable, spot});
        // What is paid by the second stays until its replacement serves.
        const std::uint32_t ready = present(directory, reclaimable);
        const std::uint32_t held = present(directory, paid);
        if (can && ready < spot && held > fixed)
            continue;
        wanted.push_back({paid, fixed});
    }
    std::vector<wanted_count> due;
    for (const wanted_count& each : wanted)
    {
        const auto known = state.orders.find(each.key);
        if (known != state.orders.end())
        {
            const rent_order& order = known->second;
            if (now < order.quiet_until)
                continue;
            const bool fits = present(directory, each.key) == each.count;
            if (order.count == each.count && order.answered && fits)
                continue;
        }
        else if (present(directory, each.key) == each.count)
            continue;
        state.orders[each.key] = {
            each.count, now, now + options.unanswered_pause, false, {}};
        due.push_back(each);
    }
    return due;
}

void note_refused(
    const rent_options& options,
    rent_state& state,
    const rent_key& key,
    time_point now)
{
    rent_order& order = state.orders[key];
    order.dry_until = now + options.refused_pause;
    order.quiet_until = order.dry_until;
}

void note_accepted(
    const rent_options& options, rent_state& state, const rent_key& key)
{
    rent_order& order = state.orders[key];
    order.answered = true;
    // Upstreams take a while to start or to leave.
    order.quiet_until = order.sent_at + options.repeat;
}

} // namespace bergamotusher::site
