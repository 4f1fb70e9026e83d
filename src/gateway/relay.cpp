#include "gateway/relay.hpp"

#include "base/clock.hpp"
#include "gateway/relay_request.hpp"

#include <algorithm>
#include <cmath>

namespace bergamotusher::gateway
{

namespace
{

using observe::decision;

} // namespace

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
    note_asked(options_.placement.spread, view_.rates, each->facts.parts, now);
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
    const admission::window_bound& bound = options_.limits.bound;
    admission::window_usage& usage = view_.usage_of_limits[account.name];
    const bool shared = now - view_.allowances_at < options_.limits.patience &&
                        view_.allowances.count(account.name) > 0;
    // Without word from the leader, an entry keeps to its equal part.
    const double allowed =
        shared
            ? view_.allowances.at(account.name)
            : admission::share_of_entry(
                  bound,
                  admission::window_total(bound, account.rate, account.burst),
                  view_.entries,
                  now - started_at_);
    const double before = usage.sum;
    const auto wait = admission::admit(
        usage,
        bound,
        allowed,
        amount,
        now,
        shared ? admission::large_amount::refused
               : admission::large_amount::admitted_alone);
    // The leader divides what is left by what it knows to be used.
    constexpr double pressing_part = 0.25;
    if (shared && amount > pressing_part * (allowed - before))
        view_.limits_pressed = true;
    if (!wait)
        return true;
    refuse(
        each,
        error_kind::rate_limited,
        "the account's limit: " + std::to_string(std::llround(amount)) +
            " wanted, " + std::to_string(std::llround(usage.sum)) +
            " used of " + std::to_string(std::llround(allowed)) +
            (shared ? ", told by the leader " +
                          std::to_string((now - view_.allowances_at) / 1ms) +
                          " ms ago"
                    : ", an equal part"),
        *wait);
    return false;
}

placement_choice relay::choose_upstream(const request_ptr& each)
{
    placement_request wanted;
    wanted.parts = &each->facts.parts;
    wanted.prompt_tokens = each->facts.prompt_tokens.value_or(0);
    wanted.tried = &each->tried;
    wanted.rates = &view_.rates;
    wanted.entries = view_.entries;
    return choose(
        options_.placement,
        candidates(view_, each->service, each->draw),
        wanted,
        options_.domain,
        uptime());
}

void relay::place(const request_ptr& each)
{
    const placement_choice choice = choose_upstream(each);
    if (choice.upstream != nullptr)
        return send(each, choice);
    if (!each->tried.empty() && !choice.all_full)
        return after_send(each, send_outcome::not_sent, "no other upstream");
    if (choice.all_full || awaits_directory(uptime()))
        return wait(each);
    refuse(each, error_kind::no_upstream, "no upstream is ready");
}

bool relay::awaits_directory(time_point now) const
{
    return view_.directory_awaited &&
           now - started_at_ < options_.site_expected;
}

void relay::refuse_hopeless(time_point now)
{
    if (awaits_directory(now))
        return;
    for (auto& [service, waiting] : waiting_)
    {
        if (!view_.by_service[service].empty())
            continue;
        view_.services[service].waiting = 0;
        for (const request_ptr& each : std::exchange(waiting, {}))
        {
            each->is_waiting = false;
            refuse(each, error_kind::no_upstream, "no upstream is known");
        }
    }
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

void relay::stop_waiting(const request_ptr& each)
{
    auto& waiting = waiting_[each->service];
    waiting.erase(
        std::remove(waiting.begin(), waiting.end(), each), waiting.end());
    --view_.services[each->service].waiting;
    each->is_waiting = false;
}

void relay::send_waiting(const service_name& service)
{
    const auto found = waiting_.find(service);
    if (found == waiting_.end())
        return;
    while (!found->second.empty())
    {
        const request_ptr each = found->second.front();
        const placement_choice choice = choose_upstream(each);
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
            upstream.cache,
            each->facts.parts,
            service->engine->cache_tokens,
            now);
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
        stop_waiting(each);
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
    for (const std::string& address : follow_directory(view_, uptime()))
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
    refuse_hopeless(now);
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
        stop_waiting(each);
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

} // namespace bergamotusher::gateway
