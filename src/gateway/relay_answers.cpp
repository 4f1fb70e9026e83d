// The relay's answering side: what comes from upstreams, and what callers are
// told.
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
constexpr int status_server_error = 500;
constexpr int status_misdirected = 421;

bool is_success(int status)
{
    return status >= status_ok_first && status <= status_ok_last;
}

/// Upper bounds of the histogram of times to the first byte, ms.
constexpr std::array<int, 10> first_byte_bounds{
    5, 10, 25, 50, 100, 250, 500, 1000, 2500, 1'000'000};

} // namespace

void relay::release(const request_ptr& each)
{
    if (each->upstream.empty())
        return;
    const auto found = view_.upstreams.find(each->upstream);
    if (found != view_.upstreams.end())
    {
        upstream_view& upstream = *found->second;
        if (upstream.own_running > 0)
            --upstream.own_running;
        if (!each->has_begun)
            upstream.own_unread_tokens -=
                std::min(upstream.own_unread_tokens, each->unread_tokens);
    }
    service_counts& counts = view_.services[each->service];
    if (counts.running > 0)
        --counts.running;
    each->upstream = {};
    each->ticket.reset();
    send_waiting(each->service);
}

version_tally& relay::tally(const request& each)
{
    return view_.tallies[{each.service, each.version, each.route->name}];
}

void relay::note_first_byte(const request_ptr& each)
{
    if (each->has_begun)
        return;
    each->has_begun = true;
    const time_point now = uptime();
    const auto found = view_.upstreams.find(each->upstream);
    if (found != view_.upstreams.end())
    {
        upstream_view& upstream = *found->second;
        upstream.own_unread_tokens -=
            std::min(upstream.own_unread_tokens, each->unread_tokens);
        note_answer(upstream, each->answer.upstream_load, now);
        note_lateness(
            options_.placement,
            upstream,
            to_seconds(now - each->sent_at) * per_mille - each->predicted_ms,
            true,
            now);
    }
    if (!each->counted_usage && each->account != nullptr)
    {
        each->counted_usage = true;
        ++view_.usage[usage_window_at(view_, now)][each->account->name];
    }
    version_tally& seen = tally(*each);
    const double latency =
        std::max(1.0, to_seconds(now - each->sent_at) * per_mille);
    ++seen.timed;
    seen.log_sum += std::log(latency);
}

void relay::note_good(const request_ptr& each)
{
    ++tally(*each).good;
}

void relay::note_bad(const request_ptr& each)
{
    ++tally(*each).bad;
    const auto found = view_.upstreams.find(each->upstream);
    if (found != view_.upstreams.end())
        note_failure(options_.placement, *found->second, uptime());
}

void relay::on_head(
    const request_ptr& each,
    const answer_parser& answer,
    const answer_facts& facts)
{
    each->status = answer.status;
    each->reason = answer.reason;
    each->fields = answer.fields;
    each->answer = facts;
    each->streams = each->is_stream() && is_success(answer.status) &&
                    facts.is_signed && !facts.is_encoded;
}

void relay::on_body(const request_ptr& each, const std::string& piece)
{
    if (!each->streams)
    {
        each->body += piece;
        if (each->body.size() > options_.answer_bytes)
        {
            pool_.cancel(each->ticket);
            on_broken(each, break_kind::malformed, "the answer is too large");
        }
        return;
    }
    const std::uint64_t before = each->events.events;
    const std::string events = take_bytes(each->events, piece);
    counters_.events += each->events.events - before;
    if (!events.empty())
        pass_events(each, events);
}

void relay::pass_events(const request_ptr& each, const std::string& events)
{
    note_first_byte(each);
    const auto caller = each->caller.lock();
    if (!caller)
        return;
    std::string bytes;
    if (!each->head_passed)
    {
        each->head_passed = true;
        each->first_passed_at = uptime();
        append_answer_head(
            bytes,
            each->status,
            each->reason,
            each->fields,
            {},
            caller->closes());
        append_field(bytes, "Transfer-Encoding", "chunked");
        bytes += "\r\n";
    }
    append_chunk(bytes, events);
    caller->send(std::move(bytes));
}

void relay::on_ended(const request_ptr& each)
{
    if (each->streams)
    {
        const std::string rest = std::exchange(each->events.partial, {});
        if (!rest.empty() || !each->head_passed)
            pass_events(each, rest);
        note_good(each);
        release(each);
        if (const auto caller = each->caller.lock())
        {
            caller->send("0\r\n\r\n");
            caller->finish();
        }
        return finish(each);
    }
    pass_whole(each);
}

void relay::pass_whole(const request_ptr& each)
{
    const time_point now = uptime();
    const auto found = view_.upstreams.find(each->upstream);
    if (each->answer.not_run || each->status == status_misdirected)
    {
        if (found != view_.upstreams.end())
        {
            upstream_view& upstream = *found->second;
            if (each->status == status_misdirected)
                note_unreachable(options_.placement, upstream, now);
            else
            {
                // It is full: so much runs there that nothing more fits.
                upstream.reported = answer_facts::load{
                    upstream.value.slots, 0, upstream.value.slots};
                upstream.own_at_report = upstream.own_running;
                upstream.reported_at = now;
            }
        }
        return after_send(each, send_outcome::refused, "refused by upstream");
    }
    const bool whole = each->answer.is_signed && !each->answer.is_encoded;
    if (is_success(each->status) && !whole)
    {
        note_bad(each);
        return after_send(
            each, send_outcome::may_have_run, "the answer is not signed");
    }
    note_first_byte(each);
    if (each->status >= status_server_error)
    {
        note_bad(each);
        const next_step step =
            after_break(each->broken(send_outcome::may_have_run, now));
        if (each->head_passed || step == next_step::send_again)
            return after_send(
                each, send_outcome::may_have_run, "upstream failure");
        if (!each->answer.is_signed)
            return after_send(
                each, send_outcome::may_have_run, "unsigned failure");
    }
    else
        note_good(each);
    if (each->head_passed)
        return after_send(
            each, send_outcome::may_have_run, "not a stream any more");
    release(each);
    const auto caller = each->caller.lock();
    if (!caller)
        return finish(each);
    std::string bytes;
    append_answer_head(
        bytes,
        each->status,
        each->reason,
        each->fields,
        each->message.method == "HEAD" ? std::optional<std::size_t>()
                                       : each->body.size(),
        caller->closes());
    bytes += "\r\n";
    bytes += each->body;
    caller->send(std::move(bytes));
    caller->finish();
    finish(each);
}

void relay::on_broken(
    const request_ptr& each, break_kind kind, const std::string& detail)
{
    const time_point now = uptime();
    const auto found = view_.upstreams.find(each->upstream);
    if (kind == break_kind::not_connected)
    {
        if (found != view_.upstreams.end())
            note_unreachable(options_.placement, *found->second, now);
        ++each->failed_connects;
        --each->attempts;
        return after_send(each, send_outcome::not_sent, detail);
    }
    note_bad(each);
    after_send(
        each,
        send_outcome::may_have_run,
        std::string(to_name(kind)) + ": " + detail);
}

void relay::after_send(
    const request_ptr& each, send_outcome outcome, std::string_view reason)
{
    const time_point now = uptime();
    const upstream_id upstream = each->upstream;
    const broken_send ended = each->broken(outcome, now);
    each->ran_before =
        each->ran_before || outcome == send_outcome::may_have_run;
    next_step step = after_break(ended);
    const bool sends =
        step == next_step::send_again || step == next_step::resume;
    const bool no_other = upstream.empty();
    if (sends && (no_other || (outcome != send_outcome::not_sent &&
                               !take_repeat(
                                   view_.retries[each->service],
                                   options_.retries,
                                   view_.entries,
                                   now))))
        step = give_up(ended);
    release(each);
    log_.write(
        line_for(*each, decision::request_sent_again, now)
            .with("upstream", upstream.value)
            .with("ended", to_name(outcome))
            .with("reason", reason)
            .with("attempts", each->attempts)
            .with("step", to_name(step)),
        now);
    switch (step)
    {
    case next_step::resume:
        ++counters_.resumed;
        [[fallthrough]];
    case next_step::send_again:
        ++counters_.sent_again;
        return place(each);
    case next_step::refuse:
        return refuse(
            each,
            outcome == send_outcome::refused ? error_kind::upstream_refused
                                             : error_kind::no_upstream,
            reason);
    case next_step::fail:
        return fail(each, error_kind::upstream_failed, reason);
    }
}

duration relay::spread_return(duration least)
{
    const auto spread =
        static_cast<std::uint64_t>(options_.return_spread.count());
    return least + duration(random_() % (spread + 1));
}

void relay::refuse(
    const request_ptr& each,
    error_kind kind,
    std::string_view reason,
    std::optional<duration> come_back)
{
    const time_point now = uptime();
    ++counters_.refused[kind];
    const bool later = answer_of(kind).retry == retry_advice::later;
    if (later)
        come_back = spread_return(come_back.value_or(options_.return_after));
    else
        come_back.reset();
    log_.write(
        line_for(*each, decision::request_refused, now)
            .with("kind", answer_of(kind).name)
            .with("reason", reason)
            .with("come_back_ms", come_back.value_or(duration{})),
        now);
    answer_error(each, kind, reason, come_back);
}

void relay::fail(
    const request_ptr& each, error_kind kind, std::string_view reason)
{
    const time_point now = uptime();
    ++counters_.failed;
    log_.write(
        line_for(*each, decision::request_failed, now)
            .with("kind", answer_of(kind).name)
            .with("reason", reason)
            .with("head_passed", each->head_passed ? 1 : 0)
            .with("attempts", each->attempts),
        now);
    answer_error(each, kind, reason, {});
}

void relay::answer_error(
    const request_ptr& each,
    error_kind kind,
    std::string_view reason,
    std::optional<duration> come_back)
{
    if (const auto caller = each->caller.lock())
    {
        if (each->head_passed)
        {
            ++counters_.cut;
            caller->cut();
        }
        else
        {
            std::string bytes;
            append_problem(
                bytes,
                {kind, std::string(reason)},
                come_back,
                [&](std::string& out)
                { words_.write_attempt(out, each->facts.attempt); },
                caller->closes());
            caller->send(std::move(bytes));
            caller->finish();
        }
    }
    each->caller.reset();
    finish(each);
}

void relay::finish(const request_ptr& each)
{
    if (requests_.erase(each->number) == 0)
        return;
    ends_.erase(each->end_entry);
    if (each->status == 0 || each->caller.expired())
        return;
    ++counters_.answered;
    const time_point now = uptime();
    const time_point first = each->head_passed ? each->first_passed_at : now;
    const double first_ms = to_seconds(first - each->began) * per_mille;
    for (const int bound : first_byte_bounds)
        if (first_ms <= bound)
        {
            ++counters_.first_byte[bound];
            break;
        }
    if (each->logs)
        log_.write_routine(
            line_for(*each, decision::request_finished, now)
                .with("status", each->status)
                .with("attempts", each->attempts)
                .with("upstream", each->last_upstream.value)
                .with("first_ms", first - each->began)
                .with("events", each->events.events),
            now);
}

observe::log_line relay::line_for(
    const request& each, observe::decision what, time_point now) const
{
    log_line line(what);
    line.with("request", each.facts.attempt);
    if (each.route != nullptr)
        line.with("route", each.route->name);
    if (each.account != nullptr)
        line.with("account", each.account->name.value);
    if (!each.service.empty())
        line.with("service", each.service.value);
    line.with("age_ms", now - each.began)
        .with(
            "site_version",
            each.site ? each.site->value.version : std::uint64_t{0});
    return line;
}

} // namespace bergamotusher::gateway
