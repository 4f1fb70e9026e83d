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

} // namespace

limit_terms relay::current_limit_terms(time_point now) const
{
    return {
        options_.upstream_limits,
        warm_up_sharing,
        view_.seat,
        true_time(view_, now),
        now};
}

void relay::read_statement(const request_ptr& req, const answer_metadata& facts)
{
    const auto found = view_.upstreams.find(req->upstream);
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
    // A refusal or a failure of another kind may come without the field.
    const bool is_withdrawal =
        !facts.limit && upstream.limit && facts.is_signed && !facts.not_run;
    if (!facts.limit && !is_withdrawal)
        return;
    const std::optional<double> before = upstream.limit;
    site::stated_limit statement{
        req->upstream,
        upstream.value.started_ms,
        facts.limit,
        true_time(view_, now) / 1ms};
    // What is read here is newer than what is known, by whatever clock.
    const auto known = view_.upstream_limits.limits.find(req->upstream);
    if (known != view_.upstream_limits.limits.end() &&
        known->second.started_ms == statement.started_ms)
        statement.read_at_ms =
            std::max(statement.read_at_ms, known->second.read_at_ms + 1);
    if (!record_limit(view_, statement))
        return;
    view_.is_limit_report_due = true;
    on_limits_changed();
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

void relay::on_limits_changed()
{
    limited_return_at_.clear();
}

void relay::wait_for_limit(const request_ptr& req)
{
    const time_point now = uptime();
    const auto& waiting = waiting_[req->service];
    const auto ahead = std::count_if(
        waiting.begin(),
        waiting.end(),
        [&](const request_ptr& other) { return other->rank() <= req->rank(); });
    const auto free_in = time_to_limited_request(
        eligible_upstreams(view_, req->service, req->version_draw),
        req->tried,
        static_cast<std::uint32_t>(ahead),
        current_limit_terms(now),
        now);
    if (!req->waiting_for_limit_since)
        req->waiting_for_limit_since = now;
    const duration longest = from_seconds(
        options_.limit_wait_fraction * to_seconds(req->route->target_latency));
    if (free_in && now + *free_in <= *req->waiting_for_limit_since + longest)
        return enqueue(req);
    reject_limited(req);
}

void relay::review_limited_requests()
{
    std::vector<service_name> limited;
    for (const auto& [service, waiting] : waiting_)
        if (!waiting.empty() && waiting.front()->waiting_for_limit_since)
            limited.push_back(service);
    for (const service_name& service : limited)
        for (const request_ptr& req : std::exchange(waiting_[service], {}))
        {
            --view_.services[service].waiting;
            req->is_waiting = false;
            dispatch(req);
        }
}

void relay::reject_limited(const request_ptr& req)
{
    const time_point now = uptime();
    const limit_terms terms = current_limit_terms(now);
    const auto upstreams =
        eligible_upstreams(view_, req->service, req->version_draw);
    double rate = 0;
    for (const upstream_view* each : upstreams)
        if (const auto bound = rate_bound(*each, terms);
            each->value.state == site::upstream_state::ready && bound)
            rate += std::max(bound->requests_per_s, bound->options->min_rate);
    const std::uint32_t entries = std::max(view_.seat.count, 1U);
    const auto free_in = time_to_limited_request(upstreams, {}, 0, terms, now);
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
    ++view_.services[req->service].refused_for_limits;
    reject(
        req,
        error_kind::overloaded,
        "all upstreams have limits or warm up, " + std::to_string(rate) +
            " requests/s in all",
        std::max(delay, options_.default_retry_after));
}

} // namespace bergamotusher::gateway
