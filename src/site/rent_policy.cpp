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
    double now_wanted = std::max(
        planned.requests / options.requests_each,
        planned.prompt_tokens / options.prompt_tokens_each);
    const auto began_with = state.began_with.find(service);
    if (demand.requests <= 0 && state.demand_since.count(service) == 0 &&
        began_with != state.began_with.end())
        now_wanted =
            std::max(now_wanted, static_cast<double>(began_with->second));
    // Only values that no later one exceeds can still be the highest.
    while (!wanted.empty() && wanted.back().second <= now_wanted)
        wanted.pop_back();
    wanted.emplace_back(now + options.memory, now_wanted);
    return std::max(wanted.front().second, wanted_least);
}

bool is_live(
    const rent_options& options, const known_upstream& each, time_point now)
{
    return each.value.state == upstream_state::ready &&
           now - each.heard_at < options.heard_within;
}

std::uint32_t present(
    const rent_options& options,
    const upstream_directory& directory,
    const rent_key& key,
    time_point now)
{
    std::uint32_t count = 0;
    for (const auto& [id, each] : directory.upstreams)
        if (each.value.service == key.service &&
            each.value.domain == key.domain && is_live(options, each, now) &&
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

/// Reclaimable upstreams of a service that have served for a while.
struct reclaimable_count
{
    std::uint32_t all = 0;
    /// In the failure domain that has most of them.
    std::uint32_t most = 0;
};

reclaimable_count trusted_reclaimable(
    const rent_options& options,
    const upstream_directory& directory,
    const service_name& service,
    time_point now)
{
    std::map<failure_domain, std::uint32_t> counts;
    reclaimable_count found;
    for (const auto& [id, each] : directory.upstreams)
        if (each.value.service == service && each.value.reclaimable &&
            is_live(options, each, now) &&
            now - each.changed_at >= options.trust)
        {
            ++found.all;
            found.most = std::max(found.most, ++counts[each.value.domain]);
        }
    return found;
}

std::uint32_t present_on_demand(
    const rent_options& options,
    const renting_terms& terms,
    const upstream_directory& directory,
    const service_name& service,
    time_point now)
{
    std::uint32_t count = 0;
    for (const auto& [domain, price] : terms.prices)
        count += present(
            options, directory, {service, domain, market::on_demand}, now);
    return count;
}

/// Whether a failure domain lost its reclaimable upstreams lately, or is losing
/// them, though none were given back: announcements need not say that they are
/// reclaimed. Mostly read from the directory, so that a new leader knows it.
bool reclaimed_lately(
    const rent_options& options,
    const rent_state& state,
    const renting_terms& terms,
    const upstream_directory& directory,
    const service_name& service,
    time_point now)
{
    std::map<failure_domain, std::uint32_t> leaving;
    for (const auto& [id, each] : directory.upstreams)
        if (each.value.service == service && each.value.reclaimable &&
            each.value.state != upstream_state::ready &&
            now - each.changed_at < options.reclaim_memory)
            ++leaving[each.value.domain];
    return std::any_of(
        terms.prices.begin(),
        terms.prices.end(),
        [&](const auto& priced)
        {
            const rent_key key{service, priced.first, market::reclaimable};
            const std::uint32_t gone = leaving[priced.first];
            const std::uint32_t left = present(options, directory, key, now);
            const auto order = state.orders.find(key);
            const bool given_back =
                order != state.orders.end() && order->second.count <= left;
            return gone >= options.reclaimed_least && gone > left &&
                   !given_back;
        });
}

std::uint32_t whole(double count)
{
    return static_cast<std::uint32_t>(std::ceil(std::max(count, 0.0)));
}

/// On-demand upstreams that the service is to have.
std::uint32_t on_demand_wanted(
    const rent_options& options,
    const rent_state& state,
    const renting_terms& terms,
    const service_name& service,
    double need,
    bool reclaimed,
    const upstream_directory& directory,
    time_point now)
{
    const reclaimable_count cheap =
        trusted_reclaimable(options, directory, service, now);
    const double insured =
        reclaimed ? options.insured_part_after_reclaim : options.insured_part;
    const auto wanted = std::max(
        whole(need - cheap.all),
        whole(insured * need - (cheap.all - cheap.most)));
    const auto since = state.demand_since.find(service);
    if (since != state.demand_since.end() &&
        now - since->second >= options.settle)
        return wanted;
    // The demand is not known yet: nothing goes, but for upstreams that
    // reclaimable ones replace one for one.
    const auto began_with = state.began_with.find(service);
    const std::uint32_t kept =
        began_with == state.began_with.end()
            ? present_on_demand(options, terms, directory, service, now)
            : began_with->second - std::min(began_with->second, cheap.all);
    return std::max(wanted, kept);
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
    if (!state.began_at)
        state.began_at = now;
    const bool all_announced = now - *state.began_at >= options.announced_after;
    const std::uint32_t held_on_demand =
        present_on_demand(options, terms, directory, service.name, now);
    if (demand.requests > 0)
        state.demand_since.emplace(service.name, now);
    else if (
        state.demand_since.count(service.name) == 0 &&
        (state.began_with.count(service.name) > 0 ||
         trusted_reclaimable(options, directory, service.name, now).all == 0))
    {
        std::uint32_t& began_with = state.began_with[service.name];
        began_with = std::max(began_with, held_on_demand);
    }
    const double need = recent_want(options, state, service.name, demand, now);
    const auto since = state.demand_since.find(service.name);
    const bool settled = since != state.demand_since.end() &&
                         now - since->second >= options.settle;
    // One domain's reclaimable upstreams can go at once.
    const double sharers =
        static_cast<double>(std::max<std::size_t>(terms.prices.size(), 2) - 1);
    const std::uint32_t reclaimable_each =
        terms.reclaimable_price > 0 ? whole(need * options.headroom / sharers)
                                    : 0;
    const bool reclaimed =
        reclaimed_lately(options, state, terms, directory, service.name, now);
    const std::uint32_t on_demand = on_demand_wanted(
        options, state, terms, service.name, need, reclaimed, directory, now);
    state.last_basis[service.name] = {
        need,
        trusted_reclaimable(options, directory, service.name, now).all,
        held_on_demand,
        reclaimed};
    const auto fixed_by_domain = spread_by_price(terms, on_demand);
    std::vector<wanted_count> wanted;
    for (const auto& [domain, price] : terms.prices)
    {
        const rent_key reclaimable{service.name, domain, market::reclaimable};
        const rent_key paid{service.name, domain, market::on_demand};
        const bool dry = is_dry(state, reclaimable, now);
        const std::uint32_t held = present(options, directory, paid, now);
        const auto found = fixed_by_domain.find(domain);
        std::uint32_t fixed =
            found == fixed_by_domain.end() ? 0 : found->second;
        if (reclaimable_each == 0 ||
            present(options, directory, reclaimable, now) == 0)
            fixed = std::max(fixed, terms.least);
        fixed = std::min(fixed, terms.most);
        // Where rented ones are known already, the directory is older than
        // this leader.
        const bool is_first_start = state.began_with.count(service.name) > 0;
        if (all_announced || (!is_first_start && fixed > held))
            wanted.push_back({paid, fixed});
        // The bounds are on both markets together.
        const std::uint32_t room =
            terms.most - std::min(terms.most, std::max(held, fixed));
        std::uint32_t others = reclaimable_each;
        const std::uint32_t cheap =
            present(options, directory, reclaimable, now);
        if (!settled || reclaimed || others >= options.give_back_part * cheap)
            others = std::max(others, cheap);
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
            const bool raises = order.answered && each.count > order.count;
            if (now < order.quiet_until && !raises)
                continue;
            const bool fits =
                present(options, directory, each.key, now) == each.count;
            if (order.count == each.count && order.answered && fits)
                continue;
        }
        else if (present(options, directory, each.key, now) == each.count)
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
