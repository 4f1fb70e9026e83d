// The part of the relay that keeps to the limits that upstreams name in their
// answers.
#include "base/clock.hpp"
#include "gateway/relay_request.hpp"

#include <algorithm>

namespace bergamotusher::gateway
{

namespace
{

using observe::decision;
using observe::log_line;

constexpr int status_misdirected = 421;

} // namespace

limit_terms relay::current_limit_terms(time_point now) const
{
    return {options_.upstream_limits, view_.seat, true_time(view_, now)};
}

void relay::read_statement(const request_ptr& req, const answer_metadata& facts)
{
    const auto found = view_.upstreams.find(req->upstream);
    // An answer 421 is of another upstream at the address.
    if (found == view_.upstreams.end() || req->status == status_misdirected)
        return;
    upstream_view& upstream = *found->second;
    const time_point now = uptime();
    if (facts.has_unreadable_limit)
    {
        if (!std::exchange(upstream.has_logged_unreadable_limit, true))
            log_.write(
                make_log_line(*req, decision::upstream_limited, now)
                    .with("upstream", req->upstream.value)
                    .with("outcome", "the limit cannot be read"),
                now);
        return;
    }
    const bool is_withdrawal =
        !facts.limit && upstream.limit && (facts.is_signed || facts.not_run);
    if (!facts.limit && !is_withdrawal)
        return;
    const std::optional<double> before = upstream.limit;
    const site::stated_limit statement{
        req->upstream,
        upstream.value.started_ms,
        facts.limit,
        true_time(view_, now) / 1ms};
    if (!record_limit(view_, statement))
        return;
    view_.is_limit_report_due = true;
    log_.write(
        make_log_line(*req, decision::upstream_limited, now)
            .with("upstream", req->upstream.value)
            .with("requests_per_s", facts.limit.value_or(-1))
            .with("before", before.value_or(-1))
            .with("seat", view_.seat.rank)
            .with("seats", view_.seat.count)
            .with("outcome", facts.limit ? "in force" : "withdrawn"),
        now);
}

void relay::wait_for_limit(const request_ptr& req)
{
    const auto& waiting = waiting_[req->service];
    const auto free_in = time_to_limited_request(
        eligible_upstreams(view_, req->service, req->version_draw),
        static_cast<std::uint32_t>(waiting.size()),
        current_limit_terms(uptime()));
    const duration longest = from_seconds(
        options_.limit_wait_fraction * to_seconds(req->route->target_latency));
    if (free_in && *free_in <= longest)
        return enqueue(req);
    reject_limited(req);
}

void relay::reject_beyond_limits()
{
    for (auto& [service, waiting] : waiting_)
    {
        if (waiting.empty())
            continue;
        const request_ptr first = waiting.front();
        const placement_choice choice = choose_upstream(first);
        if (!choice.is_limited || choice.all_full)
            continue;
        for (const request_ptr& req : std::exchange(waiting, {}))
        {
            --view_.services[service].waiting;
            req->is_waiting = false;
            wait_for_limit(req);
        }
    }
}

void relay::reject_limited(const request_ptr& req)
{
    const time_point now = uptime();
    const auto upstreams =
        eligible_upstreams(view_, req->service, req->version_draw);
    double rate = 0;
    for (const upstream_view* each : upstreams)
        if (each->value.state == site::upstream_state::ready && each->limit)
            rate += std::max(*each->limit, options_.upstream_limits.min_rate);
    const std::uint32_t entries = std::max(view_.seat.count, 1U);
    const auto free_in =
        time_to_limited_request(upstreams, 0, current_limit_terms(now));
    // Callers return one after the other, as fast as this entry's part of the
    // limits serves them.
    time_point& return_at = limited_return_at_[req->service];
    return_at = std::max(return_at, now + free_in.value_or(duration{}));
    const duration delay =
        std::min(return_at - now, options_.limit_retry_after_max);
    if (rate > 0)
        return_at = std::min(
            return_at + from_seconds(entries / rate),
            now + options_.limit_retry_after_max);
    ++counters_.limited;
    reject(
        req,
        error_kind::overloaded,
        "all upstreams name limits, " + std::to_string(rate) +
            " requests/s in all",
        std::max(delay, options_.default_retry_after));
}

} // namespace bergamotusher::gateway
