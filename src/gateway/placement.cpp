#include "gateway/placement.hpp"

#include <algorithm>
#include <cmath>
#include <limits>

namespace bergamotusher::gateway
{

namespace
{

/// `value` after exponential decay since `since` with time constant
/// `decay_time`.
double
decayed(double value, time_point since, duration decay_time, time_point now)
{
    const double age = to_seconds(now - since) / to_seconds(decay_time);
    return value * std::exp(-std::max(age, 0.0));
}

double current_failures(
    const placement_options& options, const upstream_view& view, time_point now)
{
    return decayed(
        view.failures,
        view.failures_updated_at,
        options.failure_decay_time,
        now);
}

double current_lateness(
    const placement_options& options, const upstream_view& view, time_point now)
{
    return decayed(
        view.lateness_ms,
        view.lateness_updated_at,
        options.lateness_decay_time,
        now);
}

} // namespace

namespace
{

/// Entries that share what an upstream takes while it warms up. So many that
/// entries have about equal parts of a few upstreams, but still few, so that
/// each has a request open at most times; more where upstreams are fewer, so
/// that each entry has one.
std::uint32_t
warm_up_owners(const admission::entry_seat& seat, std::uint32_t upstreams)
{
    constexpr std::uint32_t min_owners = 5;
    const std::uint32_t sharing = std::max(upstreams, 1U);
    return std::max((seat.count + sharing - 1) / sharing, min_owners);
}

} // namespace

std::optional<bounded_rate>
rate_bound(const upstream_view& view, const limit_terms& terms)
{
    if (view.warm_up_rate > 0 && terms.now < view.warm_until)
        return bounded_rate{
            std::min(view.warm_up_rate, view.limit.value_or(view.warm_up_rate)),
            admission::seat_among_owners(
                terms.seat,
                view.id_hash,
                warm_up_owners(terms.seat, view.service_upstreams)),
            &terms.warm_up,
            &view.warm_up_use};
    if (view.limit)
        return bounded_rate{
            *view.limit, terms.seat, &terms.options, &view.limit_use};
    return std::nullopt;
}

bool is_within_limit(const upstream_view& view, const limit_terms& terms)
{
    const auto bound = rate_bound(view, terms);
    return !bound || admission::requests_left(
                         *bound->options,
                         {bound->requests_per_s, view.id_hash},
                         bound->seat,
                         *bound->use,
                         terms.true_time) > 0;
}

void record_limit_use(upstream_view& view, const limit_terms& terms)
{
    const auto bound = rate_bound(view, terms);
    if (!bound)
        return;
    record_use(
        *bound->options,
        {bound->requests_per_s, view.id_hash},
        bound->seat,
        bound->use == &view.limit_use ? view.limit_use : view.warm_up_use,
        terms.true_time);
}

std::optional<duration> time_to_limited_request(
    const std::vector<upstream_view*>& upstreams,
    const std::set<upstream_id>& tried,
    std::uint32_t ahead,
    const limit_terms& terms,
    time_point now)
{
    std::vector<duration> times;
    for (const upstream_view* each : upstreams)
    {
        const auto bound = rate_bound(*each, terms);
        if (each->value.state != site::upstream_state::ready || !bound ||
            each->is_silent || now < each->avoid_until ||
            tried.count(each->value.id) > 0)
            continue;
        for (std::uint32_t i = 0; i <= ahead; ++i)
            if (const auto time = admission::time_to_request(
                    *bound->options,
                    {bound->requests_per_s, each->id_hash},
                    bound->seat,
                    *bound->use,
                    i,
                    terms.true_time))
                times.push_back(*time);
    }
    if (times.size() <= ahead)
        return std::nullopt;
    const auto nth = times.begin() + ahead;
    std::nth_element(times.begin(), nth, times.end());
    return *nth;
}

std::uint32_t estimate_running(
    const placement_options& options, const upstream_view& view, time_point now)
{
    if (!view.reported_load ||
        now - view.load_reported_at > options.load_report_max_age)
        return view.own_running;
    const std::uint32_t all =
        view.reported_load->running + view.reported_load->waiting;
    const std::uint32_t others =
        all > view.own_running_at_report ? all - view.own_running_at_report : 0;
    return others + view.own_running;
}

placement_choice select_upstream(
    const placement_options& options,
    const std::vector<upstream_view*>& upstreams,
    const placement_request& request,
    const failure_domain& own_domain,
    time_point now)
{
    placement_choice best;
    double best_cost = std::numeric_limits<double>::max();
    cache_query query;
    const bool has_parts = request.parts != nullptr && !request.parts->empty();
    if (has_parts)
        query = make_cache_query(
            options.cache_prediction,
            upstreams,
            *request.parts,
            request.rates,
            request.entries,
            now);
    const auto prompt = static_cast<double>(request.prompt_tokens);
    // If no other upstream can be used, those that seem unreachable are tried.
    for (const bool last_resort : {false, true})
    {
        for (upstream_view* each : upstreams)
        {
            if (each->value.state != site::upstream_state::ready ||
                (request.tried != nullptr &&
                 request.tried->count(each->value.id) > 0))
                continue;
            if (!last_resort && (each->is_silent || now < each->avoid_until))
                continue;
            if (!is_within_limit(*each, request.limits))
            {
                best.is_limited = true;
                continue;
            }
            const std::uint32_t running = estimate_running(options, *each, now);
            if (each->value.slots > 0 &&
                running >= options.slot_utilization_max * each->value.slots)
            {
                best.all_full = true;
                continue;
            }
            const double cached =
                has_parts ? expected_cached_tokens(
                                options.cache_prediction, query, *each, now)
                          : 0;
            const double uncached = std::max(prompt - cached, 0.0);
            const double running_ms = options.running_cost_ms * running;
            const double predicted =
                routing::first_token_ms(
                    options.prefill_speed,
                    request.speed,
                    static_cast<double>(each->own_uncached_tokens) + uncached) +
                running_ms + current_lateness(options, *each, now);
            const double cost =
                predicted +
                (each->value.domain == own_domain
                     ? 0
                     : options.cross_domain_cost_ms) +
                options.failure_cost_ms * current_failures(options, *each, now);
            if (cost < best_cost)
            {
                best_cost = cost;
                best.upstream = each;
                best.uncached_tokens =
                    static_cast<std::uint64_t>(std::llround(uncached));
                best.predicted_ms = predicted;
                best.running_ms = running_ms;
            }
        }
        if (best.upstream != nullptr || best.all_full)
            break;
    }
    best.is_limited = best.is_limited && best.upstream == nullptr;
    return best;
}

void record_failure(
    const placement_options& options, upstream_view& view, time_point now)
{
    view.failures = current_failures(options, view, now) + 1;
    view.failures_updated_at = now;
}

void record_lateness(
    const placement_options& options,
    upstream_view& view,
    double late_ms,
    bool is_final,
    time_point now)
{
    const double current = current_lateness(options, view, now);
    // A single early answer reduces the recorded lateness only in part, since
    // other requests there may still be late.
    constexpr double early_answer_weight = 0.4;
    view.lateness_ms = late_ms > current || !is_final
                           ? std::max(current, late_ms)
                           : current + early_answer_weight *
                                           (std::max(late_ms, 0.0) - current);
    view.lateness_updated_at = now;
}

void record_unreachable(
    const placement_options& options, upstream_view& view, time_point now)
{
    constexpr std::uint32_t doublings_max = 8;
    const std::uint32_t doublings =
        std::min(view.consecutive_connect_failures, doublings_max);
    view.avoid_until = now + std::min(
                                 options.avoid_time_initial * (1 << doublings),
                                 options.avoid_time_max);
    ++view.consecutive_connect_failures;
    record_failure(options, view, now);
}

void record_replaced(
    const placement_options& options, upstream_view& view, time_point now)
{
    view.avoid_until = now + options.avoid_time_replaced;
}

void record_answer(
    upstream_view& view,
    const std::optional<answer_metadata::load>& load,
    time_point now)
{
    view.consecutive_connect_failures = 0;
    view.avoid_until = {};
    view.answered_at = now;
    if (!load)
        return;
    view.reported_load = load;
    view.own_running_at_report = view.own_running;
    view.load_reported_at = now;
}

} // namespace bergamotusher::gateway
