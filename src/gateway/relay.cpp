#include "gateway/relay.hpp"

#include "base/clock.hpp"
#include "gateway/relay_request.hpp"

#include <algorithm>

namespace bergamotusher::gateway
{

namespace
{

using observe::decision;

} // namespace

relay::relay(
    boost::asio::io_context& loop,
    const header_codec& codec,
    relay_options options,
    entry_view& view,
    observe::decision_log& log)
    : loop_(loop)
    , codec_(codec)
    , options_(std::move(options))
    , view_(view)
    , log_(log)
    , pool_(loop, codec, {})
    , timer_(loop)
    , random_engine_(std::random_device{}())
    , started_at_(uptime())
{
}

relay::~relay() = default;

std::uint64_t relay::accept(
    request_message message,
    const std::shared_ptr<response_writer>& caller,
    time_point began)
{
    auto req = std::make_shared<request>();
    req->number = next_number_++;
    req->facts = codec_.read_request(message);
    req->message = std::move(message);
    req->caller = caller;
    req->began = began;
    req->site = view_.site;
    req->is_sampled = log_.is_sampled(req->facts.attempt, uptime());
    // Longer than any route's timeout; replaced once the route is known.
    req->deadline = began + 1h;
    req->deadline_entry = deadlines_.emplace(req->deadline, req->number);
    requests_.emplace(req->number, req);
    ++counters_.received;
    start(req);
    return req->number;
}

void relay::start(const request_ptr& req)
{
    const time_point now = uptime();
    if (rejects_new_requests_)
        return reject_as_draining(req);
    // With a site that may be outdated, an entry cannot tell which routes and
    // accounts exist.
    const bool valid = now < view_.site_valid_until;
    if (!valid && wait_for_site(req))
        return;
    if (!req->site)
        return reject(
            req,
            error_kind::stale_configuration,
            "no site is known yet",
            options_.site_wait_max);
    const std::string& target = req->message.target;
    req->route = find_route(
        *req->site,
        req->facts.host,
        std::string_view(target).substr(0, target.find('?')));
    const bool needs_key =
        req->site->value.has_accounts &&
        (req->route == nullptr || !req->route->allows_anonymous);
    if (!valid && (req->route == nullptr || needs_key))
        return reject(
            req,
            error_kind::stale_configuration,
            "the site may be old",
            options_.site_wait_max);
    if (req->route == nullptr)
        return reject_by_site(
            req, error_kind::unknown_resource, "no route fits");
    if (needs_key)
    {
        req->account = req->facts.key
                           ? find_account(*req->site, *req->facts.key)
                           : nullptr;
        if (req->account == nullptr)
            return reject_by_site(
                req, error_kind::unauthenticated, "no account has the key");
    }
    duration timeout = req->route->timeout;
    if (req->facts.client_timeout)
        timeout = std::min(timeout, *req->facts.client_timeout);
    deadlines_.erase(req->deadline_entry);
    req->deadline = req->began + timeout;
    req->deadline_entry = deadlines_.emplace(req->deadline, req->number);
    arm_timer();
    if (req->time_left(now) < min_time_for_attempt)
        return reject(req, error_kind::overloaded, "no time is left");
    if (!end_suspended(req) && admit(req))
        place(req);
}

void relay::place(const request_ptr& req)
{
    const time_point now = uptime();
    req->version_draw =
        static_cast<std::uint32_t>(random_engine_() % per_mille);
    double total_weight = 0;
    for (const auto& service : req->route->services)
        total_weight += service.weight;
    double remaining_weight =
        std::uniform_real_distribution<double>(0, total_weight)(random_engine_);
    for (const auto& service : req->route->services)
    {
        if (service.weight > 0)
            req->service = service.service;
        remaining_weight -= service.weight;
        if (remaining_weight < 0)
            break;
    }
    record_request(view_.retry_budgets[req->service], options_.retries, now);
    ++view_.services[req->service].arrived;
    dispatch(req);
    record_parts(
        options_.placement.cache_prediction,
        view_.rates,
        req->facts.parts,
        now);
}

void relay::reject_by_site(
    const request_ptr& req, error_kind kind, std::string_view reason)
{
    const duration age = uptime() - view_.site_confirmed_at;
    if (age <= options_.refusal_confirmation_age)
        return reject(req, kind, reason);
    if (!wait_for_site(req))
        reject(
            req,
            error_kind::stale_configuration,
            std::string(reason) + ", but the site was confirmed " +
                std::to_string(age / 1ms) + " ms ago",
            options_.site_wait_max);
}

bool relay::wait_for_site(const request_ptr& req)
{
    const time_point now = uptime();
    const time_point since = std::max(started_at_, view_.site_valid_until);
    const duration client_timeout = req->facts.client_timeout.value_or(1s);
    const duration max_wait = std::min(
        from_seconds(to_seconds(client_timeout) * options_.site_wait_fraction),
        options_.site_wait_max);
    if (now - since > options_.site_expected_within ||
        now - req->began >= max_wait ||
        waiting_for_site_.size() >= options_.waiting_max)
        return false;
    deadlines_.erase(req->deadline_entry);
    req->deadline = req->began + max_wait;
    req->deadline_entry = deadlines_.emplace(req->deadline, req->number);
    waiting_for_site_.push_back(req);
    arm_timer();
    return true;
}

void relay::on_site_confirmed()
{
    for (const request_ptr& req : std::exchange(waiting_for_site_, {}))
    {
        if (requests_.count(req->number) == 0)
            continue;
        req->site = view_.site;
        start(req);
    }
}

placement_choice relay::choose_upstream(const request_ptr& req)
{
    placement_request placement;
    placement.parts = &req->facts.parts;
    placement.prompt_tokens = req->facts.prompt_tokens.value_or(0);
    placement.target_latency = req->route->target_latency;
    placement.tried = &req->tried;
    placement.rates = &view_.rates;
    placement.entries = view_.entries;
    placement.speed = view_.prefill_speeds[req->service];
    placement.limits = current_limit_terms(uptime());
    const auto exchange = view_.exchanges.find(req->service);
    if (exchange != view_.exchanges.end())
        placement.exchange = &exchange->second;
    return select_upstream(
        options_.placement,
        eligible_upstreams(view_, req->service, req->version_draw),
        placement,
        options_.domain,
        uptime());
}

void relay::dispatch(const request_ptr& req)
{
    if (end_suspended(req))
        return;
    if (is_too_late(*req, uptime()))
        return reject_as_draining(req);
    const placement_choice choice = choose_upstream(req);
    // A request does not overtake those that wait for a part of a limit.
    if (choice.upstream != nullptr && choice.upstream->limit &&
        !waiting_[req->service].empty())
    {
        enqueue(req);
        return dispatch_waiting(req->service);
    }
    if (choice.upstream != nullptr)
        return send(req, choice);
    if (choice.is_limited && !choice.all_full)
        return wait_for_limit(req);
    if (!req->tried.empty() && !choice.all_full)
        return handle_failed_attempt(
            req, attempt_outcome::not_sent, "no other upstream");
    if (choice.all_full || is_awaiting_directory(uptime()))
        return enqueue(req);
    reject(req, error_kind::no_upstream, "no upstream is ready");
}

bool relay::is_awaiting_directory(time_point now) const
{
    return view_.awaiting_directory &&
           now - started_at_ < options_.site_expected_within;
}

void relay::reject_unservable(time_point now)
{
    if (is_awaiting_directory(now))
        return;
    for (auto& [service, waiting] : waiting_)
    {
        if (!view_.by_service[service].empty())
            continue;
        view_.services[service].waiting = 0;
        for (const request_ptr& req : std::exchange(waiting, {}))
        {
            req->is_waiting = false;
            reject(req, error_kind::no_upstream, "no upstream is known");
        }
    }
}

void relay::enqueue(const request_ptr& req)
{
    auto& waiting = waiting_[req->service];
    if (waiting.size() >= options_.waiting_max)
        return reject(req, error_kind::overloaded, "too many requests wait");
    req->is_waiting = true;
    req->waiting_since = uptime();
    // Ordered by rank, and by arrival among equal ranks.
    const auto position = std::find_if(
        waiting.begin(),
        waiting.end(),
        [&](const request_ptr& other) { return other->rank() > req->rank(); });
    waiting.insert(position, req);
    ++view_.services[req->service].waiting;
}

void relay::dequeue(const request_ptr& req)
{
    auto& waiting = waiting_[req->service];
    waiting.erase(
        std::remove(waiting.begin(), waiting.end(), req), waiting.end());
    --view_.services[req->service].waiting;
    req->is_waiting = false;
}

void relay::dispatch_waiting(const service_name& service)
{
    const auto found = waiting_.find(service);
    if (found == waiting_.end())
        return;
    while (!found->second.empty())
    {
        const request_ptr req = found->second.front();
        const placement_choice choice = choose_upstream(req);
        if (choice.upstream == nullptr)
            return;
        found->second.pop_front();
        req->is_waiting = false;
        --view_.services[service].waiting;
        send(req, choice);
    }
}

std::string relay::encode_request(const request& req, time_point now) const
{
    const request_message& message = req.message;
    const std::string* connection = find_field(message.fields, "Connection");
    const std::string_view connection_fields =
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
        if (!is_hop_by_hop(field.name, connection_fields) &&
            codec_.is_forwarded(field.name))
            append_field(bytes, field.name, field.value);
    if (!message.body.empty() ||
        (message.method != "GET" && message.method != "HEAD"))
        append_field(
            bytes, "Content-Length", std::to_string(message.body.size()));
    attempt_metadata facts;
    facts.time_left = req.time_left(now) - options_.transit_allowance;
    facts.expected = req.upstream;
    if (req.account != nullptr)
        facts.account = req.account->name;
    facts.resume_after = req.facts.resume_after;
    if (req.events.last_id)
        facts.resume_after = req.events.last_id;
    codec_.write_attempt_fields(bytes, facts);
    bytes.append("\r\n").append(message.body);
    return bytes;
}

response_callbacks relay::make_callbacks(const request_ptr& req)
{
    response_callbacks callbacks;
    callbacks.on_head =
        [this, req](const answer_parser& answer, const answer_metadata& facts)
    {
        on_head(req, answer, facts);
    };
    callbacks.on_body = [this, req](const std::string& piece)
    {
        on_body(req, piece);
    };
    callbacks.on_complete = [this, req]
    {
        on_complete(req);
    };
    callbacks.on_failed =
        [this, req](failure_kind kind, const std::string& detail)
    {
        on_failed(req, kind, detail);
    };
    return callbacks;
}

void relay::send(const request_ptr& req, const placement_choice& choice)
{
    const time_point now = uptime();
    upstream_view& upstream = *choice.upstream;
    req->upstream = upstream.value.id;
    req->last_upstream = upstream.value.id;
    req->version = upstream.value.version;
    req->uncached_tokens = choice.uncached_tokens;
    req->predicted_ms = choice.predicted_ms;
    req->running_ms = choice.running_ms;
    req->running_at_upstream = choice.running;
    req->first_byte_received = false;
    req->sent_at = now;
    req->tried.insert(upstream.value.id);
    ++req->attempts;
    req->status = 0;
    req->fields.clear();
    drop_buffer(req);
    req->is_streaming = false;
    req->earlier_events = req->events.events;
    req->events.went_back = false;
    ++upstream.own_running;
    record_limit_use(upstream, current_limit_terms(now));
    upstream.own_uncached_tokens += choice.uncached_tokens;
    req->queued_tokens = upstream.own_uncached_tokens;
    const site::service* service = find_service(*req->site, req->service);
    if (service != nullptr && service->engine && !req->facts.parts.empty())
        record_prompt(
            upstream.cache,
            req->facts.parts,
            service->engine->cache_tokens,
            now);
    service_counts& counts = view_.services[req->service];
    ++counts.running;
    counts.prefill_tokens += choice.uncached_tokens;
    ++counts.sent;
    req->waiting_for_limit_since.reset();
    ++tally(*req).sent;
    ++counters_.sent;
    if (req->is_sampled)
        log_.write_sampled(
            make_log_line(*req, decision::request_sent, now)
                .with("upstream", upstream.value.id.value)
                .with("attempts", req->attempts)
                .with("unread_tokens", choice.uncached_tokens)
                .with("predicted_ms", choice.predicted_ms)
                .with("upstream_running", upstream.own_running)
                .with("upstream_load", choice.running)
                .with("work_ms", upstream.pace.work_ms)
                .with(
                    "load_age_ms",
                    upstream.reported_load ? now - upstream.load_reported_at
                                           : duration(-1)),
            now);
    outgoing_request out;
    out.address = upstream.value.address;
    out.bytes = encode_request(*req, now);
    out.attempt_id = req->facts.attempt;
    out.is_head_request = req->message.method == "HEAD";
    out.at_most_once = req->route->kind != site::route_kind::repeatable;
    record_domain(*req, upstream.value.domain, out.bytes.size(), now);
    req->ticket = pool_.send(std::move(out), make_callbacks(req));
}

void relay::record_domain(
    const request& req,
    const failure_domain& domain,
    std::size_t bytes,
    time_point now)
{
    const auto exchange = view_.exchanges.find(req.service);
    if (exchange != view_.exchanges.end())
        routing::record_sent(
            options_.placement.exchange, exchange->second, domain, now);
    if (domain == options_.domain)
        return;
    domain_traffic& traffic = view_.left_domain[{req.service, domain}];
    ++traffic.requests;
    traffic.bytes += bytes;
}

void relay::abandon(std::uint64_t number)
{
    const auto found = requests_.find(number);
    if (found == requests_.end())
        return;
    const request_ptr req = found->second;
    const time_point now = uptime();
    ++counters_.caller_disconnects;
    log_.write(
        make_log_line(*req, decision::caller_left, now)
            .with("upstream", req->upstream.value)
            .with("head_passed", req->head_forwarded ? 1 : 0),
        now);
    pool_.cancel(req->ticket);
    record_unanswered(req);
    record_silence(req);
    waiting_for_site_.erase(
        std::remove(waiting_for_site_.begin(), waiting_for_site_.end(), req),
        waiting_for_site_.end());
    if (req->is_waiting)
        dequeue(req);
    req->caller.reset();
    release_upstream(req);
    finish(req);
}

void relay::on_upstreams_changed()
{
    for (const std::string& address : sync_upstreams(view_, uptime()))
        pool_.close_idle(address);
    for (auto& [service, waiting] : waiting_)
        dispatch_waiting(service);
}

void relay::tick()
{
    const time_point now = uptime();
    pool_.close_expired();
    stop_waiting_for_grants(now);
    drop_expired(view_.crashes, now);
    for (const auto& [number, req] : requests_)
    {
        if (req->first_byte_received || req->upstream.empty())
            continue;
        const auto found = view_.upstreams.find(req->upstream);
        const double late_ms =
            to_seconds(now - req->sent_at) * per_mille - req->predicted_ms;
        if (found != view_.upstreams.end() && late_ms > 0)
            record_lateness(
                options_.placement, *found->second, late_ms, false, now);
    }
    reject_late(now);
    for (auto& [service, waiting] : waiting_)
        dispatch_waiting(service);
    review_limited_requests();
    reject_unservable(now);
}

void relay::arm_timer()
{
    if (deadlines_.empty())
        return;
    // Deadlines are handled slightly late, so that several share one wake-up.
    constexpr duration timer_slack = 5ms;
    const time_point due = deadlines_.begin()->first + timer_slack;
    const time_point now = uptime();
    if (timer_due_ > now && timer_due_ <= due)
        return;
    timer_due_ = due;
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
    timer_due_ = {};
    while (!deadlines_.empty() && deadlines_.begin()->first <= now)
    {
        const auto found = requests_.find(deadlines_.begin()->second);
        if (found == requests_.end())
        {
            deadlines_.erase(deadlines_.begin());
            continue;
        }
        const request_ptr req = found->second;
        on_timeout(req);
    }
    arm_timer();
}

void relay::on_timeout(const request_ptr& req)
{
    const auto waiting_entry =
        std::find(waiting_for_site_.begin(), waiting_for_site_.end(), req);
    if (waiting_entry != waiting_for_site_.end())
    {
        waiting_for_site_.erase(waiting_entry);
        return reject(
            req,
            error_kind::stale_configuration,
            "no site came in time",
            options_.site_wait_max);
    }
    if (req->is_waiting)
    {
        dequeue(req);
        return reject(req, error_kind::overloaded, "no upstream became free");
    }
    pool_.cancel(req->ticket);
    record_unanswered(req);
    if (!req->upstream.empty() && !req->head_forwarded)
        record_attempt_failure(req);
    release_upstream(req);
    if (req->attempts == 0 && !req->may_have_run_before)
        return reject(req, error_kind::no_upstream, "no upstream was reached");
    fail(req, error_kind::deadline_passed, "the time is over");
}

} // namespace bergamotusher::gateway
