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

bool is_plain(const upstream_view& view)
{
    return view.pace.work_ms > 0;
}

double answers_left(
    const placement_options& options, const upstream_view& view, time_point now)
{
    return decayed(1, view.answers_updated_at, options.failure_decay_time, now);
}

/// Failures that an upstream told of beyond those that the other upstreams
/// lead to expect: some requests fail wherever they run, and to avoid the last
/// upstream where one did would send all others to the rest.
class told_failures
{
public:
    told_failures(
        const placement_options& options,
        const std::vector<upstream_view*>& upstreams,
        time_point now)
        : options_(options), now_(now)
    {
        for (const upstream_view* each : upstreams)
        {
            if (each->answers <= 0)
                continue;
            const double left = answers_left(options, *each, now);
            failures_ += left * each->told_failures;
            answers_ += left * each->answers;
        }
    }

    double unexpected_at(const upstream_view& view) const
    {
        if (view.told_failures <= 0)
            return 0;
        const double left = answers_left(options_, view, now_);
        const double failures = left * view.told_failures;
        const double answers = left * view.answers;
        const double others = std::max(answers_ - answers, 1.0);
        const double expected =
            answers * std::max(failures_ - failures, 0.0) / others;
        constexpr double deviations = 2;
        return std::max(
            failures - expected - deviations * std::sqrt(expected), 0.0);
    }

private:
    const placement_options& options_;
    time_point now_;
    double failures_ = 0;
    double answers_ = 0;
};

/// Whether the upstream takes no more requests by the entry's estimate. Where
/// answers are short and entries many, a free slot is seen too late to wait for
/// it here: then the queue of the upstream counts, up to a part of the target.
bool is_full(
    const placement_options& options,
    const upstream_view& view,
    const placement_request& request,
    std::uint32_t running,
    time_point now)
{
    const double slots = view.value.slots;
    if (slots <= 0 || running < options.slot_utilization_max * slots)
        return false;
    if (!is_plain(view) || request.target_latency <= duration::zero())
        return true;
    constexpr double ms_per_s = 1'000;
    return routing::answer_ms(options.pace, view.pace, running, slots, now) >
           options.target_part_at_upstream *
               to_seconds(request.target_latency) * ms_per_s;
}

/// Less than the time that one request more costs, and different for each
/// entry: entries that know of no difference do not all take the first.
double tie_break_ms(
    const placement_options& options,
    const upstream_view& view,
    const placement_request& request)
{
    const admission::entry_seat& seat = request.limits.seat;
    if (request.prompt_tokens > 0 || seat.count == 0)
        return 0;
    constexpr std::uint64_t multiplier = 0x9e37'79b9'7f4a'7c15;
    constexpr int shift = 48;
    constexpr double range = 1 << 16;
    const std::uint64_t mixed =
        (view.id_hash + seat.rank * multiplier) * multiplier;
    return options.running_cost_ms * static_cast<double>(mixed >> shift) /
           range;
}

/// Lateness that is no mere spread of the answer times.
double lateness_cost(
    const placement_options& options, const upstream_view& view, time_point now)
{
    constexpr double usual_spread = 3;
    return std::max(
        current_lateness(options, view, now) - usual_spread * view.pace.work_ms,
        0.0);
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
    if (is_plain(view))
        return view.own_running +
               static_cast<std::uint32_t>(std::lround(routing::others_at(
                   options.pace, view.pace, view.value.slots, now)));
    if (!view.reported_load ||
        now - view.load_reported_at > options.load_report_max_age)
        return view.own_running;
    const std::uint32_t all =
        view.reported_load->running + view.reported_load->waiting;
    const std::uint32_t others =
        all > view.own_running_at_report ? all - view.own_running_at_report : 0;
    return others + view.own_running;
}

double domain_cost_ms(
    const placement_options& options,
    const placement_request& request,
    const failure_domain& domain,
    const failure_domain& own)
{
    if (domain == own)
        return 0;
    const double transfer_ms = routing::transfer_cost_ms(options.transfer);
    return request.exchange == nullptr
               ? transfer_ms
               : routing::surcharge_ms(
                     options.exchange, *request.exchange, domain, transfer_ms);
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
    const told_failures failures(options, upstreams, now);
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
            if (is_full(options, *each, request, running, now))
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
                routing::answer_ms(
                    options.pace, each->pace, running, each->value.slots, now) +
                running_ms + lateness_cost(options, *each, now) +
                tie_break_ms(options, *each, request);
            const double cost =
                predicted +
                domain_cost_ms(
                    options, request, each->value.domain, own_domain) +
                options.failure_cost_ms *
                    (current_failures(options, *each, now) +
                     failures.unexpected_at(*each));
            if (cost < best_cost)
            {
                best_cost = cost;
                best.upstream = each;
                best.uncached_tokens =
                    static_cast<std::uint64_t>(std::llround(uncached));
                best.predicted_ms = predicted;
                best.running_ms = running_ms;
                best.running = running;
            }
        }
        if (best.upstream != nullptr || best.all_full)
            break;
    }
    best.is_limited = best.is_limited && best.upstream == nullptr;
    return best;
}

void record_plain_answer(
    const placement_options& options,
    upstream_view& view,
    double latency_ms,
    std::uint32_t ahead,
    bool is_failure,
    time_point now)
{
    const double left = view.answers > 0 ? answers_left(options, view, now) : 0;
    view.told_failures = left * view.told_failures + (is_failure ? 1 : 0);
    view.answers = left * view.answers + 1;
    view.answers_updated_at = now;
    if (!is_failure)
        routing::record_work(
            options.pace, view.pace, latency_ms, ahead, view.value.slots);
}

void record_refusal(
    const placement_options& options, upstream_view& view, time_point now)
{
    const std::uint32_t slots = view.value.slots;
    view.reported_load = answer_metadata::load{slots, 0, slots};
    view.own_running_at_report = view.own_running;
    view.load_reported_at = now;
    if (!is_plain(view))
        return;
    // It refuses once its queue is full, of which the length is not known.
    constexpr std::uint32_t queue_of_slots = 4;
    routing::record_load(
        options.pace, view.pace, slots * (1 + queue_of_slots), now);
}

void record_loss(
    const placement_options& options,
    upstream_view& view,
    time_point sent_at,
    time_point now)
{
    // One event takes all requests that are there.
    if (sent_at < view.lost_at)
        return;
    view.lost_at = now;
    ++view.losses_in_row;
    if (view.losses_in_row >= options.losses_in_row_max)
        record_unreachable(options, view, now);
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
    const placement_options& options,
    upstream_view& view,
    const std::optional<answer_metadata::load>& load,
    time_point now)
{
    view.consecutive_connect_failures = 0;
    view.avoid_until = {};
    view.answered_at = now;
    view.losses_in_row = 0;
    if (!load)
        return;
    view.reported_load = load;
    view.own_running_at_report = view.own_running;
    view.load_reported_at = now;
    const double all = double(load->running) + load->waiting;
    routing::record_load(
        options.pace, view.pace, std::max(all - view.own_running, 0.0), now);
    routing::record_stated_pace(
        options.pace, view.pace, load->pace_percent, now);
}

} // namespace bergamotusher::gateway
