#include "gateway/relay.hpp"

#include "base/clock.hpp"
#include "gateway/problem_answer.hpp"

#include <algorithm>
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
constexpr std::uint32_t per_mille = 1000;

bool is_success(int status)
{
    return status >= status_ok_first && status <= status_ok_last;
}

/// Upper bounds of the histogram of times to the first byte, ms.
constexpr std::array<int, 10> first_byte_bounds{
    5, 10, 25, 50, 100, 250, 500, 1000, 2500, 1'000'000};

} // namespace

struct relay::request
{
    std::uint64_t number = 0;
    request_message message;
    request_facts facts;
    std::weak_ptr<caller_port> caller;
    std::shared_ptr<const site::lookup> site;
    const site::route* route = nullptr;
    const site::account* account = nullptr;
    service_name service;
    std::uint32_t draw = 0;
    time_point began;
    /// The route's bound or the caller's patience, whichever ends first.
    time_point ends_at;
    std::multimap<time_point, std::uint64_t>::iterator end_entry;
    bool logs = false;
    bool is_waiting = false;
    time_point waits_since;

    // The sends.
    std::set<upstream_id> tried;
    std::uint32_t attempts = 0;
    std::uint32_t failed_connects = 0;
    bool ran_before = false;
    bool counted_usage = false;

    // The send under way.
    upstream_pool::ticket ticket;
    upstream_id upstream;
    /// The same, still known once the send has ended.
    upstream_id last_upstream;
    version_name version;
    std::uint64_t unread_tokens = 0;
    double predicted_ms = 0;
    bool has_begun = false;
    time_point sent_at;

    // The answer.
    int status = 0;
    std::string reason;
    header_fields fields;
    answer_facts answer;
    std::string body;
    event_splitter events;
    bool streams = false;
    bool head_passed = false;
    time_point first_passed_at;

    duration time_left(time_point now) const
    {
        return ends_at - now;
    }
    bool is_stream() const
    {
        return route->kind == site::route_kind::stream;
    }
};

relay::relay(
    boost::asio::io_context& loop,
    const dialect& words,
    relay_options options,
    entry_view& view,
    observe::decision_log& log)
    : loop_(loop)
    , words_(words)
    , options_(std::move(options))
    , view_(view)
    , log_(log)
    , pool_(loop, words, {})
    , timer_(loop)
    , random_(std::random_device{}())
    , started_at_(uptime())
{
}

relay::~relay() = default;

std::uint64_t relay::take(
    request_message message,
    const std::shared_ptr<caller_port>& caller,
    time_point began)
{
    auto each = std::make_shared<request>();
    each->number = next_number_++;
    each->facts = words_.read_request(message);
    each->message = std::move(message);
    each->caller = caller;
    each->began = began;
    each->site = view_.site;
    each->logs = log_.samples(each->facts.attempt, uptime());
    // Long enough for any route; replaced once the route is known.
    each->ends_at = began + 1h;
    each->end_entry = ends_.emplace(each->ends_at, each->number);
    requests_.emplace(each->number, each);
    ++counters_.taken;
    begin(each);
    return each->number;
}

void relay::begin(const request_ptr& each)
{
    const time_point now = uptime();
    if (refuses_new_)
        return refuse(
            each, error_kind::draining, "this entry shuts down", 50ms);
    // An entry that may hold an old site cannot tell what exists.
    const bool valid = now < view_.site_valid_until;
    if (!valid && wait_for_site(each))
        return;
    if (!each->site)
        return refuse(
            each,
            error_kind::stale_configuration,
            "no site is known yet",
            options_.site_wait);
    const std::string& target = each->message.target;
    each->route = find_route(
        *each->site,
        each->facts.host,
        std::string_view(target).substr(0, target.find('?')));
    const bool needs_key =
        each->site->value.has_accounts &&
        (each->route == nullptr || !each->route->open_to_all);
    if (!valid && (each->route == nullptr || needs_key))
        return refuse(
            each,
            error_kind::stale_configuration,
            "the site may be old",
            options_.site_wait);
    if (each->route == nullptr)
        return refuse(each, error_kind::unknown_resource, "no route fits");
    if (needs_key)
    {
        each->account = each->facts.key
                            ? find_account(*each->site, *each->facts.key)
                            : nullptr;
        if (each->account == nullptr)
            return refuse(
                each, error_kind::unauthenticated, "no account has the key");
    }
    duration patience = each->route->timeout;
    if (each->facts.patience)
        patience = std::min(patience, *each->facts.patience);
    ends_.erase(each->end_entry);
    each->ends_at = each->began + patience;
    each->end_entry = ends_.emplace(each->ends_at, each->number);
    arm();
    if (each->time_left(now) < least_time_for_send)
        return refuse(each, error_kind::overloaded, "no time is left");
    if (!admit(each))
        return;
    each->draw = static_cast<std::uint32_t>(random_() % per_mille);
    double weights = 0;
    for (const auto& service : each->route->services)
        weights += service.weight;
    double drawn = std::uniform_real_distribution<double>(0, weights)(random_);
    for (const auto& service : each->route->services)
    {
        if (service.weight > 0)
            each->service = service.service;
        drawn -= service.weight;
        if (drawn < 0)
            break;
    }
    note_request(view_.retries[each->service], options_.retries, now);
    place(each);
}

bool relay::wait_for_site(const request_ptr& each)
{
    const time_point now = uptime();
    const time_point since = std::max(started_at_, view_.site_valid_until);
    const duration patience = each->facts.patience.value_or(1s);
    const duration longest = std::min(
        from_seconds(to_seconds(patience) * options_.site_wait_part),
        options_.site_wait);
    if (now - since > options_.site_expected || now - each->began >= longest ||
        waiting_for_site_.size() >= options_.waiting_max)
        return false;
    ends_.erase(each->end_entry);
    each->ends_at = each->began + longest;
    each->end_entry = ends_.emplace(each->ends_at, each->number);
    waiting_for_site_.push_back(each);
    arm();
    return true;
}

void relay::site_confirmed()
{
    for (const request_ptr& each : std::exchange(waiting_for_site_, {}))
    {
        if (requests_.count(each->number) == 0)
            continue;
        each->site = view_.site;
        begin(each);
    }
}

bool relay::admit(const request_ptr& each)
{
    if (each->account == nullptr || each->account->rate <= 0)
        return true;
    const time_point now = uptime();
    const site::account& account = *each->account;
    double amount = 1;
    if (account.counts_tokens)
        amount = each->facts.prompt_tokens
                     ? static_cast<double>(
                           *each->facts.prompt_tokens +
                           each->facts.output_tokens.value_or(0))
                     : account.default_tokens;
    const admission::window_bound& bound = options_.limits;
    const double allowed = admission::share_of_entry(
        bound,
        admission::window_total(bound, account.rate, account.burst),
        view_.entries,
        now - started_at_);
    admission::window_usage& usage = view_.usage_of_limits[account.name];
    const auto wait = admission::admit(usage, bound, allowed, amount, now);
    if (!wait)
        return true;
    refuse(
        each,
        error_kind::rate_limited,
        "the account's limit: " + std::to_string(std::llround(amount)) +
            " wanted, " + std::to_string(std::llround(usage.sum)) +
            " used of " + std::to_string(std::llround(allowed)),
        *wait);
    return false;
}

void relay::place(const request_ptr& each)
{
    const time_point now = uptime();
    placement_request wanted;
    wanted.parts = &each->facts.parts;
    wanted.prompt_tokens = each->facts.prompt_tokens.value_or(0);
    wanted.tried = &each->tried;
    const auto upstreams = candidates(view_, each->service, each->draw);
    const placement_choice choice =
        choose(options_.placement, upstreams, wanted, options_.domain, now);
    if (choice.upstream != nullptr)
        return send(each, choice);
    if (!each->tried.empty() && !choice.all_full)
        return after_send(each, send_outcome::not_sent, "no other upstream");
    if (choice.all_full)
        return wait(each);
    refuse(each, error_kind::no_upstream, "no upstream is ready");
}

void relay::wait(const request_ptr& each)
{
    auto& waiting = waiting_[each->service];
    if (waiting.size() >= options_.waiting_max)
        return refuse(each, error_kind::overloaded, "too many requests wait");
    each->is_waiting = true;
    each->waits_since = uptime();
    // The more urgent go first, and among equals those that came first.
    const auto behind = std::find_if(
        waiting.begin(),
        waiting.end(),
        [&](const request_ptr& other)
        { return other->route->priority > each->route->priority; });
    waiting.insert(behind, each);
    ++view_.services[each->service].waiting;
}

void relay::send_waiting(const service_name& service)
{
    const auto found = waiting_.find(service);
    if (found == waiting_.end())
        return;
    while (!found->second.empty())
    {
        const request_ptr each = found->second.front();
        placement_request wanted;
        wanted.parts = &each->facts.parts;
        wanted.prompt_tokens = each->facts.prompt_tokens.value_or(0);
        wanted.tried = &each->tried;
        const placement_choice choice = choose(
            options_.placement,
            candidates(view_, service, each->draw),
            wanted,
            options_.domain,
            uptime());
        if (choice.upstream == nullptr)
            return;
        found->second.pop_front();
        each->is_waiting = false;
        --view_.services[service].waiting;
        send(each, choice);
    }
}

std::string relay::bytes_for(const request& each, time_point now) const
{
    const request_message& message = each.message;
    const std::string* connection = find_field(message.fields, "Connection");
    const std::string_view names =
        connection == nullptr ? std::string_view{} : *connection;
    std::string bytes;
    constexpr std::size_t own_fields_size = 256;
    std::size_t size = message.body.size() + own_fields_size;
    for (const header_field& field : message.fields)
        size += field.name.size() + field.value.size() + 4;
    bytes.reserve(size);
    bytes.append(message.method).append(" ").append(message.target);
    bytes.append(" HTTP/1.1\r\n");
    for (const header_field& field : message.fields)
        if (!is_hop_by_hop(field.name, names) && words_.passes_on(field.name))
            append_field(bytes, field.name, field.value);
    if (!message.body.empty() ||
        (message.method != "GET" && message.method != "HEAD"))
        append_field(
            bytes, "Content-Length", std::to_string(message.body.size()));
    send_facts facts;
    facts.time_left = each.time_left(now) - options_.hand_on_time;
    facts.expected = each.upstream;
    if (each.account != nullptr)
        facts.account = each.account->name;
    facts.resume_after = each.facts.resume_after;
    if (each.events.last_id)
        facts.resume_after = each.events.last_id;
    words_.write_send(bytes, facts);
    bytes.append("\r\n").append(message.body);
    return bytes;
}

send_events relay::events_for(const request_ptr& each)
{
    send_events events;
    events.head =
        [this, each](const answer_parser& answer, const answer_facts& facts)
    {
        on_head(each, answer, facts);
    };
    events.body = [this, each](const std::string& piece)
    {
        on_body(each, piece);
    };
    events.ended = [this, each]
    {
        on_ended(each);
    };
    events.broken = [this, each](break_kind kind, const std::string& detail)
    {
        on_broken(each, kind, detail);
    };
    return events;
}

void relay::send(const request_ptr& each, const placement_choice& choice)
{
    const time_point now = uptime();
    upstream_view& upstream = *choice.upstream;
    each->upstream = upstream.value.id;
    each->last_upstream = upstream.value.id;
    each->version = upstream.value.version;
    each->unread_tokens = choice.unread_tokens;
    each->predicted_ms = choice.predicted_ms;
    each->has_begun = false;
    each->sent_at = now;
    each->tried.insert(upstream.value.id);
    ++each->attempts;
    each->status = 0;
    each->fields.clear();
    each->body.clear();
    each->events.partial.clear();
    each->streams = false;
    ++upstream.own_running;
    upstream.own_unread_tokens += choice.unread_tokens;
    const site::service* service = find_service(*each->site, each->service);
    if (service != nullptr && service->engine && !each->facts.parts.empty())
        note_read(
            upstream.cache, each->facts.parts, service->engine->cache_tokens);
    service_counts& counts = view_.services[each->service];
    ++counts.running;
    counts.prompt_tokens_read += choice.unread_tokens;
    ++tally(*each).sent;
    ++counters_.sent;
    if (each->logs)
        log_.write_routine(
            line_for(*each, decision::request_sent, now)
                .with("upstream", upstream.value.id.value)
                .with("attempts", each->attempts)
                .with("unread_tokens", choice.unread_tokens)
                .with("predicted_ms", choice.predicted_ms)
                .with("upstream_running", upstream.own_running)
                .with(
                    "load_age_ms",
                    upstream.reported ? now - upstream.reported_at
                                      : duration(-1)),
            now);
    outgoing_request out;
    out.address = upstream.value.address;
    out.bytes = bytes_for(*each, now);
    out.attempt = each->facts.attempt;
    out.is_head = each->message.method == "HEAD";
    out.is_careful = each->route->kind != site::route_kind::repeatable;
    each->ticket = pool_.send(std::move(out), events_for(each));
}

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
        constexpr std::int64_t microseconds_per_ms = 1000;
        const std::int64_t true_ms =
            now.time_since_epoch().count() / microseconds_per_ms +
            view_.time_offset_ms;
        constexpr std::int64_t window_ms = 5000;
        ++view_.usage[static_cast<std::uint64_t>(true_ms / window_ms)]
                     [each->account->name];
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
        const broken_send ended{
            each->route->kind,
            each->route->resumable,
            send_outcome::may_have_run,
            each->ran_before,
            each->head_passed,
            each->events.last_id.has_value(),
            each->attempts,
            each->route->attempts_max,
            each->failed_connects,
            each->time_left(now)};
        const next_step step = after_break(ended);
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
    broken_send ended{
        each->route->kind,
        each->route->resumable,
        outcome,
        each->ran_before,
        each->head_passed,
        each->events.last_id.has_value(),
        each->attempts,
        each->route->attempts_max,
        each->failed_connects,
        each->time_left(now)};
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

void relay::leave(std::uint64_t number)
{
    const auto found = requests_.find(number);
    if (found == requests_.end())
        return;
    const request_ptr each = found->second;
    const time_point now = uptime();
    ++counters_.callers_left;
    log_.write(
        line_for(*each, decision::caller_left, now)
            .with("upstream", each->upstream.value)
            .with("head_passed", each->head_passed ? 1 : 0),
        now);
    pool_.cancel(each->ticket);
    waiting_for_site_.erase(
        std::remove(waiting_for_site_.begin(), waiting_for_site_.end(), each),
        waiting_for_site_.end());
    if (each->is_waiting)
    {
        auto& waiting = waiting_[each->service];
        waiting.erase(
            std::remove(waiting.begin(), waiting.end(), each), waiting.end());
        --view_.services[each->service].waiting;
    }
    each->caller.reset();
    release(each);
    finish(each);
}

void relay::refuse_new()
{
    refuses_new_ = true;
}

void relay::upstreams_changed()
{
    for (const std::string& address : follow_directory(view_))
        pool_.forget(address);
    for (auto& [service, waiting] : waiting_)
        send_waiting(service);
}

void relay::tick()
{
    const time_point now = uptime();
    pool_.expire();
    for (const auto& [number, each] : requests_)
    {
        if (each->has_begun || each->upstream.empty())
            continue;
        const auto found = view_.upstreams.find(each->upstream);
        const double late =
            to_seconds(now - each->sent_at) * per_mille - each->predicted_ms;
        if (found != view_.upstreams.end() && late > 0)
            note_lateness(options_.placement, *found->second, late, false, now);
    }
    for (auto& [service, waiting] : waiting_)
        send_waiting(service);
}

void relay::arm()
{
    if (ends_.empty())
        return;
    // Ends are met a little late rather than with a wake-up each.
    constexpr duration grain = 5ms;
    const time_point due = ends_.begin()->first + grain;
    const time_point now = uptime();
    if (armed_for_ > now && armed_for_ <= due)
        return;
    armed_for_ = due;
    timer_.expires_after(std::max(due - now, duration(1ms)));
    timer_.async_wait(
        [this](const boost::system::error_code& error)
        {
            if (!error)
                on_timer();
        });
}

void relay::on_timer()
{
    const time_point now = uptime();
    armed_for_ = {};
    while (!ends_.empty() && ends_.begin()->first <= now)
    {
        const auto found = requests_.find(ends_.begin()->second);
        if (found == requests_.end())
        {
            ends_.erase(ends_.begin());
            continue;
        }
        const request_ptr each = found->second;
        on_time_over(each);
    }
    arm();
}

void relay::on_time_over(const request_ptr& each)
{
    const auto held =
        std::find(waiting_for_site_.begin(), waiting_for_site_.end(), each);
    if (held != waiting_for_site_.end())
    {
        waiting_for_site_.erase(held);
        return refuse(
            each,
            error_kind::stale_configuration,
            "no site came in time",
            options_.site_wait);
    }
    if (each->is_waiting)
    {
        auto& waiting = waiting_[each->service];
        waiting.erase(
            std::remove(waiting.begin(), waiting.end(), each), waiting.end());
        --view_.services[each->service].waiting;
        each->is_waiting = false;
        return refuse(each, error_kind::overloaded, "no upstream became free");
    }
    pool_.cancel(each->ticket);
    if (!each->upstream.empty() && !each->head_passed)
        note_bad(each);
    release(each);
    if (each->attempts == 0 && !each->ran_before)
        return refuse(each, error_kind::no_upstream, "no upstream was reached");
    fail(each, error_kind::deadline_passed, "the time is over");
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
