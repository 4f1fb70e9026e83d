#include "gateway/placement.hpp"

#include <algorithm>
#include <cmath>
#include <limits>

namespace bergamotusher::gateway
{

namespace
{

/// `value` as it has faded since `since`.
double faded(double value, time_point since, duration memory, time_point now)
{
    const double age = to_seconds(now - since) / to_seconds(memory);
    return value * std::exp(-std::max(age, 0.0));
}

double failures_at(
    const placement_options& options, const upstream_view& view, time_point now)
{
    return faded(view.failures, view.failures_at, options.failure_memory, now);
}

double lateness_at(
    const placement_options& options, const upstream_view& view, time_point now)
{
    return faded(
        view.lateness_ms, view.lateness_at, options.lateness_memory, now);
}

} // namespace

std::uint32_t running_at(
    const placement_options& options, const upstream_view& view, time_point now)
{
    if (!view.reported || now - view.reported_at > options.load_memory)
        return view.own_running;
    const std::uint32_t all = view.reported->running + view.reported->waiting;
    const std::uint32_t others =
        all > view.own_at_report ? all - view.own_at_report : 0;
    return others + view.own_running;
}

placement_choice choose(
    const placement_options& options,
    const std::vector<upstream_view*>& upstreams,
    const placement_request& request,
    const failure_domain& here,
    time_point now)
{
    placement_choice best;
    double best_cost = std::numeric_limits<double>::max();
    spread_query query;
    const bool has_parts = request.parts != nullptr && !request.parts->empty();
    if (has_parts)
        query = make_query(
            options.spread,
            upstreams,
            *request.parts,
            request.rates,
            request.entries,
            now);
    const auto prompt = static_cast<double>(request.prompt_tokens);
    // An upstream that seems lost is still better than none.
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
            const std::uint32_t running = running_at(options, *each, now);
            if (each->value.slots > 0 &&
                running >= options.slots_used * each->value.slots)
            {
                best.all_full = true;
                continue;
            }
            const double kept =
                has_parts ? kept_at(options.spread, query, *each, now) : 0;
            const double unread = std::max(prompt - kept, 0.0);
            const double predicted =
                (static_cast<double>(each->own_unread_tokens) + unread) /
                    options.prompt_tokens_per_ms +
                options.running_cost_ms * running +
                lateness_at(options, *each, now);
            const double cost =
                predicted +
                (each->value.domain == here ? 0 : options.distance_cost_ms) +
                options.failure_cost_ms * failures_at(options, *each, now);
            if (cost < best_cost)
            {
                best_cost = cost;
                best.upstream = each;
                best.unread_tokens =
                    static_cast<std::uint64_t>(std::llround(unread));
                best.predicted_ms = predicted;
            }
        }
        if (best.upstream != nullptr || best.all_full)
            break;
    }
    return best;
}

void note_failure(
    const placement_options& options, upstream_view& view, time_point now)
{
    view.failures = failures_at(options, view, now) + 1;
    view.failures_at = now;
}

void note_lateness(
    const placement_options& options,
    upstream_view& view,
    double late_ms,
    bool is_final,
    time_point now)
{
    const double known = lateness_at(options, view, now);
    // One early answer does not clear what others suffer.
    constexpr double follows = 0.4;
    view.lateness_ms = late_ms > known || !is_final
                           ? std::max(known, late_ms)
                           : known + follows * (std::max(late_ms, 0.0) - known);
    view.lateness_at = now;
}

void note_unreachable(
    const placement_options& options, upstream_view& view, time_point now)
{
    constexpr std::uint32_t doublings_max = 8;
    const std::uint32_t doublings =
        std::min(view.unreachable_in_a_row, doublings_max);
    view.avoid_until =
        now +
        std::min(options.avoid_first * (1 << doublings), options.avoid_longest);
    ++view.unreachable_in_a_row;
    note_failure(options, view, now);
}

void note_answer(
    upstream_view& view,
    const std::optional<answer_facts::load>& load,
    time_point now)
{
    view.unreachable_in_a_row = 0;
    view.avoid_until = {};
    if (!load)
        return;
    view.reported = load;
    view.own_at_report = view.own_running;
    view.reported_at = now;
}

} // namespace bergamotusher::gateway
