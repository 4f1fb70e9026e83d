// The part of the relay that handles answers of upstreams and answers callers.
#include "base/clock.hpp"
#include "gateway/problem_answer.hpp"
#include "gateway/relay.hpp"
#include "gateway/relay_request.hpp"

#include <algorithm>
#include <array>
#include <cmath>

namespace bergamotusher::gateway
{

namespace
{

using observe::decision;
using observe::log_line;

constexpr int status_ok_first = 200;
constexpr int status_ok_last = 299;
constexpr int status_no_content = 204;
constexpr int status_not_modified = 304;
constexpr int status_server_error = 500;

bool is_success(int status)
{
    return status >= status_ok_first && status <= status_ok_last;
}

/// Upper bounds in ms of the histogram of times to the first byte.
constexpr std::array<int, 10> first_byte_bounds{
    5, 10, 25, 50, 100, 250, 500, 1000, 2500, 1'000'000};

void record_latency(version_tally& tally, duration latency)
{
    ++tally.latency_samples;
    tally.log_latency_sum +=
        std::log(std::max(1.0, to_seconds(latency) * per_mille));
}

std::string content_type_of(const header_fields& fields)
{
    const std::string* value = find_field(fields, "Content-Type");
    return value == nullptr ? std::string() : *value;
}

/// Whether the answer states where it ends. One that ends with its connection
/// may have been ended by a crash of the upstream.
bool is_framed(const header_fields& fields)
{
    return find_field(fields, "Content-Length") != nullptr ||
           find_field(fields, "Transfer-Encoding") != nullptr;
}

/// Whether an answer can have a body; one that cannot ends with its head.
bool allows_body(std::string_view method, int status)
{
    return method != "HEAD" && status != status_no_content &&
           status != status_not_modified;
}

} // namespace

void relay::release_upstream(const request_ptr& req)
{
    if (req->upstream.empty())
        return;
    const auto found = view_.upstreams.find(req->upstream);
    if (found != view_.upstreams.end())
    {
        upstream_view& upstream = *found->second;
        if (upstream.own_running > 0)
            --upstream.own_running;
        if (!req->first_byte_received)
            upstream.own_uncached_tokens -=
                std::min(upstream.own_uncached_tokens, req->uncached_tokens);
    }
    service_counts& counts = view_.services[req->service];
    if (counts.running > 0)
        --counts.running;
    req->upstream = {};
    req->ticket.reset();
    dispatch_waiting(req->service);
}

version_tally& relay::tally(const request& req)
{
    return view_.tallies[{req.service, req.version, req.route->name}];
}

void relay::record_first_byte(const request_ptr& req)
{
    if (req->first_byte_received)
        return;
    req->first_byte_received = true;
    const time_point now = uptime();
    const auto found = view_.upstreams.find(req->upstream);
    if (found != view_.upstreams.end())
    {
        upstream_view& upstream = *found->second;
        upstream.own_uncached_tokens -=
            std::min(upstream.own_uncached_tokens, req->uncached_tokens);
        record_answer(
            options_.placement, upstream, req->answer.upstream_load, now);
        const double latency_ms = to_seconds(now - req->sent_at) * per_mille;
        record_lateness(
            options_.placement,
            upstream,
            latency_ms - req->predicted_ms,
            true,
            now);
        if (req->is_streaming)
            routing::record_first_token(
                options_.placement.prefill_speed,
                view_.prefill_speeds[req->service],
                static_cast<double>(req->queued_tokens),
                latency_ms - req->running_ms);
    }
    if (!req->usage_counted && req->account != nullptr)
    {
        req->usage_counted = true;
        ++view_.started_requests[usage_window_at(view_, now)]
                                [req->account->name];
    }
    record_latency(tally(*req), now - req->sent_at);
}

void relay::record_unanswered(const request_ptr& req)
{
    if (!req->upstream.empty() && !req->first_byte_received)
        record_latency(tally(*req), uptime() - req->sent_at);
}

void relay::record_silence(const request_ptr& req)
{
    const auto found = view_.upstreams.find(req->upstream);
    const time_point now = uptime();
    if (found != view_.upstreams.end() && !req->first_byte_received &&
        found->second->answered_at < req->sent_at &&
        now - req->sent_at > req->route->target_latency)
        record_failure(options_.placement, *found->second, now);
}

void relay::record_attempt_success(const request_ptr& req)
{
    ++tally(*req).successes;
    record_answer_time(
        answer_times_[req->route->name], uptime() - req->sent_at);
    if (is_framed(req->fields) || req->events.events >= sound_events)
        note_answered(view_.crashes, crash_subjects_of(*req), uptime());
}

bool relay::record_plain_end(const request_ptr& req, bool is_failure)
{
    const site::service* service = find_service(*req->site, req->service);
    const auto found = view_.upstreams.find(req->upstream);
    if (service == nullptr || service->engine || !req->answer.is_signed ||
        found == view_.upstreams.end())
        return false;
    const time_point now = uptime();
    record_plain_answer(
        options_.placement,
        *found->second,
        to_seconds(now - req->sent_at) * per_mille,
        req->running_at_upstream,
        is_failure,
        now);
    return true;
}

void relay::record_attempt_failure(const request_ptr& req)
{
    ++tally(*req).failures;
    const auto found = view_.upstreams.find(req->upstream);
    if (found != view_.upstreams.end())
        record_failure(options_.placement, *found->second, uptime());
}

void relay::on_head(
    const request_ptr& req,
    const answer_parser& answer,
    const answer_metadata& facts)
{
    req->status = answer.status;
    req->reason = answer.reason;
    req->fields = answer.fields;
    req->answer = facts;
    read_statement(req, facts);
    req->is_streaming = req->is_stream() && is_success(answer.status) &&
                        facts.is_signed && !facts.is_encoded &&
                        allows_body(req->message.method, answer.status);
    // An answer of another kind does not continue the stream.
    if (req->head_forwarded &&
        content_type_of(answer.fields) != req->content_type)
        req->is_streaming = false;
}

void relay::record_event_gap(request& req, time_point now)
{
    if (req.last_event_at != time_point{})
        req.longest_gap = std::max(req.longest_gap, now - req.last_event_at);
    req.last_event_at = now;
}

void relay::on_body(const request_ptr& req, const std::string& piece)
{
    const auto from = view_.upstreams.find(req->upstream);
    if (from != view_.upstreams.end() &&
        from->second->value.domain != options_.domain)
        view_.left_domain[{req->service, from->second->value.domain}].bytes +=
            piece.size();
    if (!req->is_streaming)
    {
        req->body += piece;
        check_buffer(req);
        return;
    }
    const std::uint64_t before = req->events.events;
    const std::string events = split_events(req->events, piece);
    counters_.events += req->events.events - before;
    if (req->events.events > before)
        record_event_gap(*req, uptime());
    if (req->head_forwarded && req->events.went_back)
        return give_up_answer(req, "the stream does not continue");
    if (!events.empty())
        forward_events(req, events);
    check_buffer(req);
}

void relay::check_buffer(const request_ptr& req)
{
    const std::size_t bytes = req->body.size() + req->events.partial.size();
    buffered_bytes_ += bytes - req->buffered_bytes;
    req->buffered_bytes = bytes;
    if (req->body.size() > options_.answer_bytes_max)
        return give_up_answer(req, "the answer is too large");
    if (req->events.partial.size() > options_.event_bytes_max)
        return give_up_answer(req, "an event is too large");
    while (buffered_bytes_ > options_.buffered_bytes_max)
    {
        const auto largest = std::max_element(
            requests_.begin(),
            requests_.end(),
            [](const auto& a, const auto& b)
            { return a.second->buffered_bytes < b.second->buffered_bytes; });
        give_up_answer(
            request_ptr(largest->second),
            "too many bytes of answers are buffered");
    }
}

void relay::give_up_answer(const request_ptr& req, const char* reason)
{
    drop_buffer(req);
    pool_.cancel(req->ticket);
    on_failed(req, failure_kind::malformed, reason);
}

void relay::drop_buffer(const request_ptr& req)
{
    buffered_bytes_ -= std::exchange(req->buffered_bytes, 0);
    req->body.clear();
    req->events.partial.clear();
    req->events.searched = 0;
}

void relay::forward_events(const request_ptr& req, const std::string& events)
{
    record_first_byte(req);
    const auto caller = req->caller.lock();
    if (!caller)
        return;
    std::string bytes;
    if (!req->head_forwarded)
    {
        req->head_forwarded = true;
        req->content_type = content_type_of(req->fields);
        req->first_forwarded_at = uptime();
        append_answer_head(
            bytes,
            req->status,
            req->reason,
            req->fields,
            {},
            caller->closes_connection());
        append_field(bytes, "Transfer-Encoding", "chunked");
        bytes += "\r\n";
    }
    append_chunk(bytes, events);
    caller->send(std::move(bytes));
}

void relay::on_complete(const request_ptr& req)
{
    if (req->is_streaming)
    {
        if (!req->events.partial.empty())
            return on_failed(
                req, failure_kind::connection_lost, "ended inside an event");
        if (req->events.events == req->earlier_events &&
            !is_framed(req->fields))
            return on_failed(
                req, failure_kind::connection_lost, "ended before an event");
        if (!req->head_forwarded)
            forward_events(req, {});
        record_attempt_success(req);
        release_upstream(req);
        if (const auto caller = req->caller.lock())
        {
            caller->send("0\r\n\r\n");
            caller->finish();
        }
        return finish(req);
    }
    forward_answer(req);
}

void relay::forward_answer(const request_ptr& req)
{
    const time_point now = uptime();
    const auto found = view_.upstreams.find(req->upstream);
    if (req->answer.not_run || req->status == status_misdirected)
    {
        if (found != view_.upstreams.end())
        {
            upstream_view& upstream = *found->second;
            if (req->status == status_misdirected)
                record_replaced(options_.placement, upstream, now);
            else
                record_refusal(options_.placement, upstream, now);
        }
        return handle_failed_attempt(
            req, attempt_outcome::refused, "refused by upstream");
    }
    const bool is_trusted = req->answer.is_signed && !req->answer.is_encoded;
    if (is_success(req->status) && !is_trusted)
    {
        record_attempt_failure(req);
        return handle_failed_attempt(
            req, attempt_outcome::may_have_run, "the answer is not signed");
    }
    record_first_byte(req);
    if (req->status >= status_server_error)
    {
        if (record_plain_end(req, true))
            ++tally(*req).failures;
        else
            record_attempt_failure(req);
        const retry_decision step = decide_retry(
            req->as_failed_attempt(attempt_outcome::may_have_run, now));
        if (req->head_forwarded || step == retry_decision::retry)
            return handle_failed_attempt(
                req, attempt_outcome::may_have_run, "upstream failure");
        if (!req->answer.is_signed)
            return handle_failed_attempt(
                req, attempt_outcome::may_have_run, "unsigned failure");
    }
    else
    {
        record_plain_end(req, false);
        record_attempt_success(req);
    }
    if (req->head_forwarded)
        return handle_failed_attempt(
            req, attempt_outcome::may_have_run, "not a stream any more");
    release_upstream(req);
    const auto caller = req->caller.lock();
    if (!caller)
        return finish(req);
    std::string bytes;
    append_answer_head(
        bytes,
        req->status,
        req->reason,
        req->fields,
        allows_body(req->message.method, req->status)
            ? std::optional(req->body.size())
            : std::nullopt,
        caller->closes_connection());
    bytes += "\r\n";
    bytes += req->body;
    caller->send(std::move(bytes));
    caller->finish();
    finish(req);
}

void relay::on_failed(
    const request_ptr& req, failure_kind kind, const std::string& detail)
{
    const time_point now = uptime();
    const auto found = view_.upstreams.find(req->upstream);
    if (kind == failure_kind::not_connected)
    {
        if (found != view_.upstreams.end())
            record_unreachable(options_.placement, *found->second, now);
        ++req->failed_connects;
        --req->attempts;
        return handle_failed_attempt(req, attempt_outcome::not_sent, detail);
    }
    record_attempt_failure(req);
    if (kind == failure_kind::connection_lost)
    {
        suspect_crash(req);
        const site::service* service = find_service(*req->site, req->service);
        if (!req->first_byte_received && found != view_.upstreams.end() &&
            service != nullptr && !service->engine)
            record_loss(options_.placement, *found->second, req->sent_at, now);
    }
    handle_failed_attempt(
        req,
        attempt_outcome::may_have_run,
        std::string(to_name(kind)) + ": " + detail);
}

void relay::handle_failed_attempt(
    const request_ptr& req, attempt_outcome outcome, std::string_view reason)
{
    const time_point now = uptime();
    const upstream_id upstream = req->upstream;
    const failed_attempt failed = req->as_failed_attempt(outcome, now);
    req->may_have_run_before =
        req->may_have_run_before || outcome == attempt_outcome::may_have_run;
    retry_decision step = decide_retry(failed);
    const bool will_retry =
        step == retry_decision::retry || step == retry_decision::resume;
    const bool no_upstream_left = upstream.empty();
    if (will_retry &&
        (no_upstream_left || (outcome != attempt_outcome::not_sent &&
                              !try_consume_retry(
                                  view_.retry_budgets[req->service],
                                  options_.retries,
                                  view_.entries,
                                  now))))
        step = decide_without_retry(failed);
    release_upstream(req);
    log_.write(
        make_log_line(*req, decision::request_sent_again, now)
            .with("upstream", upstream.value)
            .with("ended", to_name(outcome))
            .with("reason", reason)
            .with("attempts", req->attempts)
            .with("step", to_name(step)),
        now);
    switch (step)
    {
    case retry_decision::resume:
        ++counters_.resumed;
        [[fallthrough]];
    case retry_decision::retry:
        ++counters_.retried;
        return dispatch(req);
    case retry_decision::reject:
        return reject(
            req,
            outcome == attempt_outcome::refused ? error_kind::upstream_refused
                                                : error_kind::no_upstream,
            reason);
    case retry_decision::fail:
        return fail(req, error_kind::upstream_failed, reason);
    }
}

duration relay::add_retry_jitter(duration min_delay)
{
    const auto spread =
        static_cast<std::uint64_t>(options_.retry_after_jitter.count());
    return min_delay + duration(random_engine_() % (spread + 1));
}

void relay::reject(
    const request_ptr& req,
    error_kind kind,
    std::string_view reason,
    std::optional<duration> retry_after)
{
    // A rejection states that the request did not run.
    if (req->may_have_run_before)
        return fail(req, error_kind::upstream_failed, reason);
    const time_point now = uptime();
    ++counters_.rejected[kind];
    const bool may_retry_later =
        error_answer_for(kind).retry == retry_advice::later;
    if (may_retry_later)
        retry_after = add_retry_jitter(
            retry_after.value_or(options_.default_retry_after));
    else
        retry_after.reset();
    log_.write(
        make_log_line(*req, decision::request_refused, now)
            .with("kind", error_answer_for(kind).name)
            .with("reason", reason)
            .with("come_back_ms", retry_after.value_or(duration{})),
        now);
    send_error(req, kind, reason, retry_after);
}

void relay::fail(
    const request_ptr& req, error_kind kind, std::string_view reason)
{
    const time_point now = uptime();
    ++counters_.failed;
    log_.write(
        make_log_line(*req, decision::request_failed, now)
            .with("kind", error_answer_for(kind).name)
            .with("reason", reason)
            .with("head_passed", req->head_forwarded ? 1 : 0)
            .with("attempts", req->attempts),
        now);
    send_error(req, kind, reason, {});
}

void relay::send_error(
    const request_ptr& req,
    error_kind kind,
    std::string_view reason,
    std::optional<duration> retry_after)
{
    if (const auto caller = req->caller.lock())
    {
        if (req->head_forwarded)
        {
            ++counters_.truncated;
            caller->abort();
        }
        else
        {
            std::string bytes;
            append_problem(
                bytes,
                {kind, std::string(reason)},
                retry_after,
                [&](std::string& out)
                { codec_.write_attempt_id(out, req->facts.attempt); },
                caller->closes_connection());
            caller->send(std::move(bytes));
            caller->finish();
        }
    }
    req->caller.reset();
    finish(req);
}

void relay::finish(const request_ptr& req)
{
    if (requests_.erase(req->number) == 0)
        return;
    drop_buffer(req);
    deadlines_.erase(req->deadline_entry);
    if (req->status == 0 || req->caller.expired())
        return;
    ++counters_.answered;
    const time_point now = uptime();
    const time_point first =
        req->head_forwarded ? req->first_forwarded_at : now;
    const double first_ms = to_seconds(first - req->began) * per_mille;
    for (const int bound : first_byte_bounds)
        if (first_ms <= bound)
        {
            ++counters_.first_byte_histogram[bound];
            break;
        }
    if (req->is_sampled)
        log_.write_sampled(
            make_log_line(*req, decision::request_finished, now)
                .with("status", req->status)
                .with("attempts", req->attempts)
                .with("upstream", req->last_upstream.value)
                .with("first_ms", first - req->began)
                .with("longest_gap_ms", req->longest_gap)
                .with("events", req->events.events),
            now);
}

observe::log_line relay::make_log_line(
    const request& req, observe::decision what, time_point now) const
{
    log_line line(what);
    line.with("request", req.facts.attempt);
    if (req.route != nullptr)
        line.with("route", req.route->name);
    if (req.account != nullptr)
        line.with("account", req.account->name.value);
    if (!req.service.empty())
        line.with("service", req.service.value);
    line.with("age_ms", now - req.began)
        .with(
            "site_version",
            req.site ? req.site->value.version : std::uint64_t{0});
    return line;
}

} // namespace bergamotusher::gateway
