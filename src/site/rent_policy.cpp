#include "site/rent_policy.hpp"

#include <algorithm>
#include <cmath>

namespace bergamotusher::site
{

namespace
{

/// Least number of upstreams planned for a service: one for each of the usual
/// three failure domains.
constexpr double min_planned_upstreams = 3;

bool is_live(
    const rent_options& options, const known_upstream& each, time_point now)
{
    return each.value.state == upstream_state::ready &&
           now - each.heard_at < options.crash_timeout;
}

/// Upstreams of one service by the directory.
struct rented_counts
{
    /// Live upstreams by failure domain and market.
    std::map<std::pair<failure_domain, market>, std::uint32_t> live;
    std::uint32_t on_demand = 0;
    /// Live reclaimable upstreams that have been ready for `trust_after`: all,
    /// and those of the failure domain that has most.
    std::uint32_t trusted_reclaimable = 0;
    std::uint32_t trusted_in_largest_domain = 0;
    /// Reclaimable upstreams that went lately or are draining, by failure
    /// domain.
    std::map<failure_domain, std::uint32_t> leaving;
    /// Slots of an upstream; 0 if unknown.
    std::uint32_t median_slots = 0;

    std::uint32_t live_in(const failure_domain& domain, market paid_as) const
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
    const std::set<failure_domain>& evacuated,
    bool has_warm_up,
    time_point now)
{
    rented_counts counts;
    std::map<failure_domain, std::uint32_t> trusted_by_domain;
    std::vector<std::uint32_t> slots;
    for (const auto& [id, each] : directory.upstreams)
    {
        const upstream& value = each.value;
        if (value.service != service || evacuated.count(value.domain) > 0)
            continue;
        if (is_live(options, each, now))
        {
            const market paid_as =
                value.reclaimable ? market::reclaimable : market::on_demand;
            ++counts.live[{value.domain, paid_as}];
            slots.push_back(value.slots);
            // What warms up carries little yet, where its service bounds that.
            if (value.reclaimable &&
                now - each.changed_at >= options.trust_after &&
                (!has_warm_up || now >= each.warm_until))
            {
                ++counts.trusted_reclaimable;
                counts.trusted_in_largest_domain = std::max(
                    counts.trusted_in_largest_domain,
                    ++trusted_by_domain[value.domain]);
            }
        }
        else if (
            value.reclaimable && value.state != upstream_state::ready &&
            now - each.changed_at < options.reclaim_window &&
            terms.prices.count(value.domain) > 0)
            ++counts.leaving[value.domain];
    }
    for (const auto& [domain, price] : terms.prices)
        counts.on_demand += counts.live_in(domain, market::on_demand);
    if (!slots.empty())
    {
        const auto middle =
            slots.begin() + static_cast<std::ptrdiff_t>(slots.size() / 2);
        std::nth_element(slots.begin(), middle, slots.end());
        counts.median_slots = *middle;
    }
    return counts;
}

/// Concurrent requests planned for an upstream with `slots` slots.
double planned_requests(const rent_options& options, std::uint32_t slots)
{
    return slots == 0 ? options.requests_per_upstream
                      : std::max(options.slot_utilization * slots, 1.0);
}

/// Follows the learned speed of the service's engines.
routing::prefill_speed update_planned_speed(
    const rent_options& options,
    rent_state& state,
    const service_name& service,
    const routing::prefill_speed& learned)
{
    if (learned.tokens_per_ms <= 0)
    {
        const auto known = state.planned_speeds.find(service);
        return known == state.planned_speeds.end() ? routing::prefill_speed{}
                                                   : known->second;
    }
    routing::prefill_speed& planned =
        state.planned_speeds.emplace(service, learned).first->second;
    const double change = learned.tokens_per_ms - planned.tokens_per_ms;
    planned.tokens_per_ms +=
        change * (change > 0 ? options.speed_gain_smoothing
                             : options.speed_loss_smoothing);
    return planned;
}

/// Upstreams that must stand in for those that name a limit below the rate that
/// each upstream would have at the planned load.
double
lost_to_limits(const service_demand& demand, double request_rate, double need)
{
    if (request_rate <= 0 || need <= 0)
        return 0;
    const double planned_rate = request_rate / need;
    double lost = 0;
    for (const double limit : demand.limits)
        lost += 1 - std::min(1.0, limit / planned_rate);
    return lost;
}

double update_peak_need(
    const rent_options& options,
    rent_state& state,
    const service_name& service,
    const service_demand& demand,
    const rented_counts& counts,
    time_point now)
{
    auto& peaks = state.recent_peaks[service];
    peaks.erase(
        std::remove_if(
            peaks.begin(),
            peaks.end(),
            [&](const auto& each) { return each.first <= now; }),
        peaks.end());
    // A new leader starts from the first demand reported, not from 0: otherwise
    // it would look like a rise.
    service_demand& planned =
        state.planned_demand.emplace(service, demand).first->second;
    if (planned.requests <= 0)
        planned = demand;
    planned.requests +=
        options.demand_smoothing * (demand.requests - planned.requests);
    planned.prompt_tokens += options.demand_smoothing *
                             (demand.prompt_tokens - planned.prompt_tokens);
    planned.request_rate +=
        options.demand_smoothing * (demand.request_rate - planned.request_rate);
    planned.refused_rate +=
        options.demand_smoothing * (demand.refused_rate - planned.refused_rate);
    double current_need = std::max(
        planned.requests / planned_requests(options, counts.median_slots),
        planned.prompt_tokens /
            planned_prompt_rate(
                options,
                update_planned_speed(options, state, service, demand.speed)));
    // What was refused would need as much as what was sent.
    if (planned.request_rate > 0)
        current_need *= std::min(
            1 + planned.refused_rate / planned.request_rate,
            options.max_growth_for_refused);
    current_need += lost_to_limits(
        demand, planned.request_rate + planned.refused_rate, current_need);
    const auto initial = state.initial_on_demand.find(service);
    if (demand.requests <= 0 && state.demand_since.count(service) == 0 &&
        initial != state.initial_on_demand.end())
        current_need =
            std::max(current_need, static_cast<double>(initial->second));
    // Drops values that are not above the new one: they can no longer be the
    // peak. The front is the highest.
    while (!peaks.empty() && peaks.back().second <= current_need)
        peaks.pop_back();
    peaks.emplace_back(now + options.peak_window, current_need);
    return std::max(peaks.front().second, min_planned_upstreams);
}

bool is_unavailable(
    const rent_state& state, const rent_key& key, time_point now)
{
    const auto found = state.orders.find(key);
    return found != state.orders.end() && now < found->second.unavailable_until;
}

/// Distributes `count` evenly over the failure domains, as far as each has
/// room; the cheapest get the remainder.
std::map<failure_domain, std::uint32_t> spread_by_price(
    const renting_terms& terms,
    const std::map<failure_domain, std::uint32_t>& room,
    std::uint32_t count)
{
    std::vector<std::pair<double, failure_domain>> by_price;
    for (const auto& [domain, price] : terms.prices)
        by_price.emplace_back(price, domain);
    std::sort(by_price.begin(), by_price.end());
    std::map<failure_domain, std::uint32_t> spread;
    bool has_room = true;
    while (count > 0 && has_room)
    {
        has_room = false;
        for (const auto& [price, domain] : by_price)
        {
            if (count == 0 || spread[domain] >= room.at(domain))
                continue;
            ++spread[domain];
            --count;
            has_room = true;
        }
    }
    return spread;
}

/// On-demand upstreams that fit into each failure domain. The limit of a domain
/// holds for both markets together, and live reclaimable upstreams are not
/// given up for on-demand ones that have yet to start.
std::map<failure_domain, std::uint32_t>
on_demand_room(const renting_terms& terms, const rented_counts& counts)
{
    std::map<failure_domain, std::uint32_t> room;
    for (const auto& [domain, price] : terms.prices)
        room[domain] = std::max(
            counts.live_in(domain, market::on_demand),
            terms.max_per_domain -
                std::min(
                    terms.max_per_domain,
                    counts.live_in(domain, market::reclaimable)));
    return room;
}

/// Whether a failure domain lately lost its reclaimable upstreams, or is losing
/// them, without an order to release them. Announcements need not say that an
/// upstream is being reclaimed. Based mainly on the directory, so that a new
/// leader detects it too.
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
            const auto& [domain, lost] = leaving;
            const std::uint32_t left =
                counts.live_in(domain, market::reclaimable);
            const auto order =
                state.orders.find({service, domain, market::reclaimable});
            const bool given_back =
                order != state.orders.end() && order->second.count <= left;
            return lost >= options.min_reclaimed && lost > left && !given_back;
        });
}

std::uint32_t round_up(double count)
{
    return static_cast<std::uint32_t>(std::ceil(std::max(count, 0.0)));
}

/// Whether the demand has been observed for long enough to release upstreams.
bool is_demand_settled(
    const rent_options& options,
    const rent_state& state,
    const service_name& service,
    time_point now)
{
    const auto since = state.demand_since.find(service);
    return since != state.demand_since.end() &&
           now - since->second >= options.settle_time;
}

/// Records when demand was first seen, or until then the initial number of
/// on-demand upstreams.
void record_start(
    rent_state& state,
    const service_name& service,
    const service_demand& demand,
    const rented_counts& counts,
    time_point now)
{
    if (!state.first_round_at)
        state.first_round_at = now;
    if (demand.requests > 0)
        state.demand_since.emplace(service, now);
    else if (
        state.demand_since.count(service) == 0 &&
        (state.initial_on_demand.count(service) > 0 ||
         counts.trusted_reclaimable == 0))
    {
        std::uint32_t& initial = state.initial_on_demand[service];
        initial = std::max(initial, counts.on_demand);
    }
}

/// Number of on-demand upstreams that the service should have.
std::uint32_t on_demand_target(
    const rent_options& options,
    const rent_state& state,
    const service_name& service,
    const rent_state::basis& basis,
    const rented_counts& counts,
    time_point now)
{
    const double insured_fraction = basis.reclaimed_lately
                                        ? options.insured_fraction_after_reclaim
                                        : options.insured_fraction;
    const auto target = std::max(
        round_up(basis.need - counts.trusted_reclaimable),
        round_up(
            insured_fraction * basis.need -
            (counts.trusted_reclaimable - counts.trusted_in_largest_domain)));
    if (is_demand_settled(options, state, service, now))
        return target;
    // The demand is not known yet: nothing is released, except on-demand
    // upstreams that are replaced by reclaimable ones, one for one.
    const auto initial = state.initial_on_demand.find(service);
    const std::uint32_t retained =
        initial == state.initial_on_demand.end()
            ? counts.on_demand
            : initial->second -
                  std::min(initial->second, counts.trusted_reclaimable);
    return std::max(target, retained);
}

/// Number of upstreams that the service should have, by failure domain and
/// market.
std::vector<target_count> target_counts(
    const rent_options& options,
    const rent_state& state,
    const service& service,
    const rent_state::basis& basis,
    const rented_counts& counts,
    time_point now)
{
    const renting_terms& terms = *service.renting;
    const bool demand_settled =
        is_demand_settled(options, state, service.name, now);
    const bool all_announced =
        now - *state.first_round_at >= options.announcement_grace;
    // If reclaimable upstreams were known from the start, the deployment is
    // older than this leader.
    const bool is_first_start = state.initial_on_demand.count(service.name) > 0;
    const std::uint32_t reclaimable_per_domain =
        terms.reclaimable_price > 0
            ? round_up(
                  basis.need *
                  reclaimable_per_need(options, terms.prices.size()))
            : 0;
    const auto on_demand_by_domain = spread_by_price(
        terms,
        on_demand_room(terms, counts),
        on_demand_target(options, state, service.name, basis, counts, now));
    std::vector<target_count> targets;
    for (const auto& [domain, price] : terms.prices)
    {
        const rent_key reclaimable{service.name, domain, market::reclaimable};
        const std::uint32_t live_on_demand =
            counts.live_in(domain, market::on_demand);
        const std::uint32_t live_reclaimable =
            counts.live_in(domain, market::reclaimable);
        const auto found = on_demand_by_domain.find(domain);
        std::uint32_t on_demand =
            found == on_demand_by_domain.end() ? 0 : found->second;
        if (reclaimable_per_domain == 0 || live_reclaimable == 0)
            on_demand = std::max(on_demand, terms.min_per_domain);
        on_demand = std::min(on_demand, terms.max_per_domain);
        if (all_announced || (!is_first_start && on_demand > live_on_demand))
            targets.push_back(
                {{service.name, domain, market::on_demand}, on_demand});
        // `max_per_domain` limits both markets together.
        const std::uint32_t room =
            terms.max_per_domain -
            std::min(terms.max_per_domain, std::max(live_on_demand, on_demand));
        std::uint32_t reclaimable_target = reclaimable_per_domain;
        if (!demand_settled || basis.reclaimed_lately ||
            reclaimable_target >= options.release_threshold * live_reclaimable)
            reclaimable_target = std::max(reclaimable_target, live_reclaimable);
        if (!is_unavailable(state, reclaimable, now) &&
            terms.reclaimable_price > 0)
            targets.push_back(
                {reclaimable,
                 std::min(
                     reclaimable_target, std::max(room, live_reclaimable))});
    }
    return targets;
}

/// The service with renting terms for the other failure domains only.
service
without_domains(service value, const std::set<failure_domain>& evacuated)
{
    if (value.renting)
        for (const failure_domain& each : evacuated)
            value.renting->prices.erase(each);
    return value;
}

/// Whether the order must be sent now; it may have been sent before.
bool is_due(
    const rent_state& state,
    const target_count& target,
    const rented_counts& counts,
    time_point now)
{
    const bool is_met =
        counts.live_in(target.key.domain, target.key.paid_as) == target.count;
    const auto found = state.orders.find(target.key);
    if (found == state.orders.end())
        return !is_met;
    const rent_order& order = found->second;
    const bool is_increase = order.answered && target.count > order.count;
    const bool is_fulfilled =
        order.answered &&
        counts.live_in(target.key.domain, target.key.paid_as) == order.count;
    if (now < order.resend_at && !is_increase && !is_fulfilled)
        return false;
    return !(order.count == target.count && order.answered && is_met);
}

} // namespace

double reclaimable_per_need(const rent_options& options, std::size_t domains)
{
    if (domains < 2)
        return 1;
    const auto count = static_cast<double>(domains);
    const double after_one = options.left_after_one_reclaim / (count - 1);
    if (domains < 3)
        return after_one;
    return std::max(after_one, options.left_after_two_reclaims / (count - 2));
}

double planned_prompt_rate(
    const rent_options& options, const routing::prefill_speed& speed)
{
    constexpr double ms_per_second = 1000;
    return options.prefill_utilization * ms_per_second *
           routing::tokens_per_ms(options.prefill_speed, speed);
}

std::vector<target_count> due_orders(
    const rent_options& options,
    rent_state& state,
    const service& whole_service,
    const service_demand& demand,
    const upstream_directory& directory,
    time_point now)
{
    const service service = without_domains(whole_service, demand.evacuated);
    if (!service.renting || service.renting->prices.empty())
        return {};
    const rented_counts counts = count_rented(
        options,
        *service.renting,
        directory,
        service.name,
        demand.evacuated,
        service.warm_up.has_value(),
        now);
    record_start(state, service.name, demand, counts, now);
    const rent_state::basis basis{
        update_peak_need(options, state, service.name, demand, counts, now),
        counts.trusted_reclaimable,
        counts.on_demand,
        reclaimed_lately(options, state, service.name, counts)};
    state.last_basis[service.name] = basis;
    std::vector<target_count> due;
    for (const target_count& each :
         target_counts(options, state, service, basis, counts, now))
    {
        const bool releases =
            each.count < counts.live_in(each.key.domain, each.key.paid_as);
        if ((demand.is_moving && releases) || !is_due(state, each, counts, now))
            continue;
        state.orders[each.key] = {
            each.count, now, now + options.answer_timeout, false, {}};
        due.push_back(each);
    }
    return due;
}

void record_refusal(
    const rent_options& options,
    rent_state& state,
    const rent_key& key,
    time_point now)
{
    rent_order& order = state.orders[key];
    order.unavailable_until = now + options.refusal_backoff;
    order.resend_at = order.unavailable_until;
}

void record_acceptance(
    const rent_options& options, rent_state& state, const rent_key& key)
{
    rent_order& order = state.orders[key];
    order.answered = true;
    // Upstreams need time to start or to leave.
    order.resend_at = order.sent_at + options.resend_interval;
}

} // namespace bergamotusher::site
