#include "gateway/placement.hpp"

#include <algorithm>
#include <cmath>
#include <limits>

namespace bergamotusher::gateway
{

namespace
{

std::uint64_t mixed(std::uint64_t a, std::uint64_t b)
{
    std::uint64_t z = a ^ (b + 0x9e3779b97f4a7c15U + (a << 6U) + (a >> 2U));
    z = (z ^ (z >> 30U)) * 0xbf58476d1ce4e5b9U;
    z = (z ^ (z >> 27U)) * 0x94d049bb133111ebU;
    return z ^ (z >> 31U);
}

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

/// The two upstreams that stand first in the order of a shared part. All
/// entries compute the same order.
struct holders
{
    const upstream_view* first = nullptr;
    const upstream_view* second = nullptr;
};

holders holders_of(
    const std::vector<upstream_view*>& upstreams,
    const std::vector<prompt_part>& parts)
{
    holders found;
    std::uint64_t best = 0;
    std::uint64_t next = 0;
    for (const upstream_view* each : upstreams)
    {
        const std::uint64_t rank = mixed(each->id_hash, parts.front().id);
        if (found.first == nullptr || rank > best)
        {
            found.second = found.first;
            next = best;
            found.first = each;
            best = rank;
        }
        else if (found.second == nullptr || rank > next)
        {
            found.second = each;
            next = rank;
        }
    }
    return found;
}

std::uint64_t unread_at(
    const placement_options& options,
    const upstream_view& view,
    const placement_request& request,
    const holders& order)
{
    if (request.parts == nullptr || request.parts->empty())
        return request.prompt_tokens;
    const std::uint64_t kept = kept_tokens(view.cache, *request.parts);
    double guessed = 0;
    const auto shared = static_cast<double>(request.parts->front().tokens);
    if (request.parts->size() > 1)
    {
        if (&view == order.first)
            guessed = options.first_holder_kept * shared;
        else if (&view == order.second)
            guessed = options.second_holder_kept * shared;
    }
    const auto known =
        std::max(kept, static_cast<std::uint64_t>(std::llround(guessed)));
    return request.prompt_tokens - std::min(known, request.prompt_tokens);
}

} // namespace

std::uint64_t hash_of(std::string_view text)
{
    constexpr std::uint64_t offset_basis = 0xcbf29ce484222325U;
    constexpr std::uint64_t prime = 0x100000001b3U;
    std::uint64_t hash = offset_basis;
    for (const char c : text)
        hash = (hash ^ static_cast<unsigned char>(c)) * prime;
    return mixed(hash, prime);
}

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
    holders order;
    if (request.parts != nullptr && request.parts->size() > 1)
        order = holders_of(upstreams, *request.parts);
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
            const std::uint64_t unread =
                unread_at(options, *each, request, order);
            const double predicted =
                static_cast<double>(each->own_unread_tokens + unread) /
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
                best.unread_tokens = unread;
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
