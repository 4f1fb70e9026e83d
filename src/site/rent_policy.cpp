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

/// What the directory says of one service now.
struct rented_counts
{
    /// Upstreams that are live, by failure domain and market.
    std::map<std::pair<failure_domain, market>, std::uint32_t> live;
    std::uint32_t on_demand = 0;
    /// Live reclaimable upstreams that have served for a while, and how many
    /// of them are in the failure domain that has most.
    std::uint32_t trusted = 0;
    std::uint32_t trusted_most = 0;
    /// Reclaimable upstreams that went lately, or are about to, by failure
    /// domain.
    std::map<failure_domain, std::uint32_t> leaving;

    std::uint32_t at(const failure_domain& domain, market paid_as) const
    {
        const auto found = live.find({domain, paid_as});
        return found == live.end() ? 0 : found->second;
    }
};

rented_counts count_rented(
    const rent_options& options,
    const renting_terms& terms,
    const upstream_directory& directory,
    const service_name& service,
    time_point now)
{
    rented_counts counts;
    std::map<failure_domain, std::uint32_t> trusted;
    for (const auto& [id, each] : directory.upstreams)
    {
        const upstream& value = each.value;
        if (value.service != service)
            continue;
        if (is_live(options, each, now))
        {
            const market paid_as =
                value.reclaimable ? market::reclaimable : market::on_demand;
            ++counts.live[{value.domain, paid_as}];
            if (value.reclaimable && now - each.changed_at >= options.trust)
            {
                ++counts.trusted;
                counts.trusted_most =
                    std::max(counts.trusted_most, ++trusted[value.domain]);
            }
        }
        else if (
            value.reclaimable && value.state != upstream_state::ready &&
            now - each.changed_at < options.reclaim_memory &&
            terms.prices.count(value.domain) > 0)
            ++counts.leaving[value.domain];
    }
    for (const auto& [domain, price] : terms.prices)
        counts.on_demand += counts.at(domain, market::on_demand);
    return counts;
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

/// Whether a failure domain lost its reclaimable upstreams lately, or is losing
/// them, though none were given back: announcements need not say that they are
/// reclaimed. Mostly read from the directory, so that a new leader knows it.
bool reclaimed_lately(
    const rent_options& options,
    const rent_state& state,
    const service_name& service,
    const rented_counts& counts)
{
    return std::any_of(
        counts.leaving.begin(),
        counts.leaving.end(),
        [&](const auto& leaving)
        {
            const auto& [domain, gone] = leaving;
            const std::uint32_t left = counts.at(domain, market::reclaimable);
            const auto order =
                state.orders.find({service, domain, market::reclaimable});
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

/// Whether the demand was seen for long enough to give something back.
bool is_settled(
    const rent_options& options,
    const rent_state& state,
    const service_name& service,
    time_point now)
{
    const auto since = state.demand_since.find(service);
    return since != state.demand_since.end() &&
           now - since->second >= options.settle;
}

/// Notes when the demand began, or before that what the service began with.
void note_beginning(
    rent_state& state,
    const service_name& service,
    const service_demand& demand,
    const rented_counts& counts,
    time_point now)
{
    if (!state.began_at)
        state.began_at = now;
    if (demand.requests > 0)
        state.demand_since.emplace(service, now);
    else if (
        state.demand_since.count(service) == 0 &&
        (state.began_with.count(service) > 0 || counts.trusted == 0))
    {
        std::uint32_t& began_with = state.began_with[service];
        began_with = std::max(began_with, counts.on_demand);
    }
}

/// On-demand upstreams that the service is to have.
std::uint32_t on_demand_wanted(
    const rent_options& options,
    const rent_state& state,
    const service_name& service,
    const rent_state::basis& basis,
    const rented_counts& counts,
    time_point now)
{
    const double insured = basis.reclaimed ? options.insured_part_after_reclaim
                                           : options.insured_part;
    const auto wanted = std::max(
        whole(basis.need - counts.trusted),
        whole(insured * basis.need - (counts.trusted - counts.trusted_most)));
    if (is_settled(options, state, service, now))
        return wanted;
    // The demand is not known yet: nothing goes, but for upstreams that
    // reclaimable ones replace one for one.
    const auto began_with = state.began_with.find(service);
    const std::uint32_t kept =
        began_with == state.began_with.end()
            ? counts.on_demand
            : began_with->second - std::min(began_with->second, counts.trusted);
    return std::max(wanted, kept);
}

/// What the service is to have in each failure domain and market.
std::vector<wanted_count> all_wanted(
    const rent_options& options,
    const rent_state& state,
    const service& service,
    const rent_state::basis& basis,
    const rented_counts& counts,
    time_point now)
{
    const renting_terms& terms = *service.renting;
    const bool settled = is_settled(options, state, service.name, now);
    const bool all_announced = now - *state.began_at >= options.announced_after;
    // Where rented ones are known already, the directory is older than this
    // leader.
    const bool is_first_start = state.began_with.count(service.name) > 0;
    // One domain's reclaimable upstreams can go at once.
    const double sharers =
        static_cast<double>(std::max<std::size_t>(terms.prices.size(), 2) - 1);
    const std::uint32_t reclaimable_each =
        terms.reclaimable_price > 0
            ? whole(basis.need * options.headroom / sharers)
            : 0;
    const auto fixed_by_domain = spread_by_price(
        terms,
        on_demand_wanted(options, state, service.name, basis, counts, now));
    std::vector<wanted_count> wanted;
    for (const auto& [domain, price] : terms.prices)
    {
        const rent_key reclaimable{service.name, domain, market::reclaimable};
        const std::uint32_t held = counts.at(domain, market::on_demand);
        const std::uint32_t cheap = counts.at(domain, market::reclaimable);
        const auto found = fixed_by_domain.find(domain);
        std::uint32_t fixed =
            found == fixed_by_domain.end() ? 0 : found->second;
        if (reclaimable_each == 0 || cheap == 0)
            fixed = std::max(fixed, terms.least);
        fixed = std::min(fixed, terms.most);
        if (all_announced || (!is_first_start && fixed > held))
            wanted.push_back(
                {{service.name, domain, market::on_demand}, fixed});
        // The bounds are on both markets together.
        const std::uint32_t room =
            terms.most - std::min(terms.most, std::max(held, fixed));
        std::uint32_t others = reclaimable_each;
        if (!settled || basis.reclaimed ||
            others >= options.give_back_part * cheap)
            others = std::max(others, cheap);
        if (!is_dry(state, reclaimable, now) && terms.reclaimable_price > 0)
            wanted.push_back({reclaimable, std::min(others, room)});
    }
    return wanted;
}

/// Whether the number must be ordered now, though one may have been before.
bool is_due(
    const rent_state& state,
    const wanted_count& wanted,
    const rented_counts& counts,
    time_point now)
{
    const bool fits =
        counts.at(wanted.key.domain, wanted.key.paid_as) == wanted.count;
    const auto known = state.orders.find(wanted.key);
    if (known == state.orders.end())
        return !fits;
    const rent_order& order = known->second;
    const bool raises = order.answered && wanted.count > order.count;
    if (now < order.quiet_until && !raises)
        return false;
    return !(order.count == wanted.count && order.answered && fits);
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
    const rented_counts counts =
        count_rented(options, *service.renting, directory, service.name, now);
    note_beginning(state, service.name, demand, counts, now);
    const rent_state::basis basis{
        recent_want(options, state, service.name, demand, now),
        counts.trusted,
        counts.on_demand,
        reclaimed_lately(options, state, service.name, counts)};
    state.last_basis[service.name] = basis;
    std::vector<wanted_count> due;
    for (const wanted_count& each :
         all_wanted(options, state, service, basis, counts, now))
    {
        if (!is_due(state, each, counts, now))
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
