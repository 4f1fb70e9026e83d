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
    // The first demand that a new leader hears of is the demand, not a rise.
    service_demand& planned =
        state.demand.emplace(service, demand).first->second;
    if (planned.requests <= 0)
        planned = demand;
    planned.requests +=
        options.demand_follows * (demand.requests - planned.requests);
    planned.prompt_tokens +=
        options.demand_follows * (demand.prompt_tokens - planned.prompt_tokens);
    const double now_wanted = std::max(
        planned.requests / options.requests_each,
        planned.prompt_tokens / options.prompt_tokens_each);
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

/// Spreads `count` over the failure domains, the cheapest first.
std::map<failure_domain, std::uint32_t>
spread_by_price(const renting_terms& terms, std::uint32_t count)
{
    std::vector<std::pair<double, failure_domain>> by_price;
    for (const auto& [domain, price] : terms.prices)
        by_price.emplace_back(price, domain);
    std::sort(by_price.begin(), by_price.end());
    std::map<failure_domain, std::uint32_t> spread;
    for (std::uint32_t i = 0; i < count; ++i)
        ++spread[by_price[i % by_price.size()].second];
    return spread;
}

/// Reclaimable upstreams that have served for a while and would be left if the
/// failure domain with most of them lost all of its own.
std::uint32_t left_after_reclaim(
    const rent_options& options,
    const upstream_directory& directory,
    const service_name& service,
    time_point now)
{
    std::map<failure_domain, std::uint32_t> counts;
    std::uint32_t all = 0;
    std::uint32_t most = 0;
    for (const auto& [id, each] : directory.upstreams)
        if (each.value.service == service && each.value.reclaimable &&
            each.value.state == upstream_state::ready &&
            now - each.changed_at >= options.trust)
        {
            ++all;
            most = std::max(most, ++counts[each.value.domain]);
        }
    return all - most;
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
    if (demand.requests > 0)
        state.demand_since.emplace(service.name, now);
    const auto since = state.demand_since.find(service.name);
    const bool settled = since != state.demand_since.end() &&
                         now - since->second >= options.settle;
    // One domain's reclaimable upstreams can go at once.
    const double sharers =
        static_cast<double>(std::max<std::size_t>(terms.prices.size(), 2) - 1);
    const auto reclaimable_each =
        terms.reclaimable_price > 0
            ? static_cast<std::uint32_t>(std::ceil(need / sharers))
            : 0;
    // What they do not carry now is carried by upstreams that stay.
    const auto needed =
        static_cast<std::uint32_t>(std::ceil(need / options.headroom));
    const std::uint32_t carried = std::min(
        needed, left_after_reclaim(options, directory, service.name, now));
    const std::uint32_t on_demand =
        std::max(options.on_demand_least, needed - carried);
    const auto fixed_by_domain = spread_by_price(terms, on_demand);
    std::vector<wanted_count> wanted;
    for (const auto& [domain, price] : terms.prices)
    {
        const rent_key reclaimable{service.name, domain, market::reclaimable};
        const rent_key paid{service.name, domain, market::on_demand};
        const bool dry = is_dry(state, reclaimable, now);
        const std::uint32_t held = present(directory, paid);
        const auto found = fixed_by_domain.find(domain);
        std::uint32_t fixed =
            found == fixed_by_domain.end() ? 0 : found->second;
        if (reclaimable_each == 0 || present(directory, reclaimable) == 0)
            fixed = std::max(fixed, terms.least);
        if (!settled)
            fixed = std::max(fixed, held);
        fixed = std::min(fixed, terms.most);
        wanted.push_back({paid, fixed});
        // The bounds are on both markets together.
        const std::uint32_t room =
            terms.most - std::min(terms.most, std::max(held, fixed));
        std::uint32_t others = reclaimable_each;
        if (!settled)
            others = std::max(others, present(directory, reclaimable));
        if (!dry && terms.reclaimable_price > 0)
            wanted.push_back({reclaimable, std::min(others, room)});
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
