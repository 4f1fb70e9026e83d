#include "serving/world.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace bergamotusher::serving_test
{

namespace
{

constexpr duration small_step = 5ms;
constexpr duration directory_delay = 500ms;
constexpr duration announcement_lease = 2s;

void tell(world& w, const fake_attempt& attempt, const serving_input& input)
{
    if (attempt.cut || attempt.mute)
        return;
    w.history.push_back({w.now, attempt.entry, input});
    const bool twice = attempt.twice;
    const std::size_t entry = attempt.entry;
    feed(w, entry, input);
    if (twice)
        feed(w, entry, input);
}

void finish_attempt(world& w, const attempt_id& id)
{
    fake_attempt& attempt = w.attempts[id];
    at_step(w, life_step::after_last_token, 0, attempt);
    if (!w.attempts.contains(id) || !w.upstreams[attempt.sent.target].alive)
        return;
    const fake_attempt ended = attempt;
    w.attempts.erase(id);
    attempt_finished end;
    end.attempt = id;
    if (ended.sent.kind == upstream_kind::engine)
    {
        end.finish_reason = "stop";
        end.pieces = ended.produced;
    }
    else
    {
        end.body = "done " + ended.prompt;
    }
    tell(w, ended, end);
}

void accept_attempt(world& w, const attempt_id& id)
{
    fake_attempt& attempt = w.attempts[id];
    const fake_upstream& target = w.upstreams[attempt.sent.target];
    if (!target.alive || target.refusing)
    {
        const fake_attempt refused = attempt;
        w.attempts.erase(id);
        return feed(
            w,
            refused.entry,
            attempt_failed{id, attempt_failure::connection_refused, 0, {}});
    }
    if (target.failing)
    {
        const fake_attempt failed = attempt;
        w.attempts.erase(id);
        ++w.accepted[failed.prompt];
        return feed(
            w,
            failed.entry,
            attempt_failed{id, attempt_failure::server_error, 500, {}});
    }
    attempt.accepted = true;
    ++w.accepted[attempt.prompt];
    if (attempt.sent.kind == upstream_kind::plain)
        ++w.runs[attempt.prompt];
    attempt.due = w.now + target.gap;
    tell(w, attempt, attempt_sent{id});
    at_step(w, life_step::first_byte_sent, 0, attempt);
}

void advance_attempt(world& w, const attempt_id& id)
{
    fake_attempt& attempt = w.attempts[id];
    if (!attempt.accepted)
        return accept_attempt(w, id);
    const fake_upstream& target = w.upstreams[attempt.sent.target];
    if (attempt.cut)
    {
        w.attempts.erase(id);
        return;
    }
    if (target.frozen)
        return;
    const std::uint64_t next = attempt.resumed_from + attempt.produced;
    if (next >= attempt.length)
        return finish_attempt(w, id);
    at_step(w, life_step::token, next, attempt);
    const auto again = w.attempts.find(id);
    if (again == w.attempts.end() || again->second.cut || target.frozen)
        return;
    attempt.due = w.now + target.gap;
    tell(
        w,
        attempt,
        attempt_token{id, attempt.produced++, piece_of(attempt.prompt, next)});
}

void advance(world& w)
{
    w.now += small_step;
    std::vector<pending_input> due;
    std::vector<pending_input> rest;
    for (pending_input& item : w.pending)
        (item.due <= w.now ? due : rest).push_back(std::move(item));
    w.pending = std::move(rest);
    for (const pending_input& item : due)
        feed(w, item.entry, item.input);
    for (const auto& [at, id] : w.dying)
        if (at <= w.now)
            kill(w, id);
    std::erase_if(
        w.dying, [&w](const auto& item) { return item.first <= w.now; });
    std::vector<attempt_id> ready;
    for (const auto& [id, attempt] : w.attempts)
        if (attempt.due <= w.now)
            ready.push_back(id);
    for (const attempt_id& id : ready)
        if (w.attempts.contains(id))
            advance_attempt(w, id);
    for (std::size_t i = 0; i < w.entries.size(); ++i)
        feed(w, i, tick{});
}

std::shared_ptr<configuration> make_configuration()
{
    auto config = std::make_shared<configuration>();
    work_class chat;
    chat.name = {"chat"};
    chat.deadline = 30s;
    config->classes[chat.name] = chat;
    service engine;
    engine.name = {"llm"};
    engine.default_class = chat.name;
    config->services[engine.name] = engine;
    service orders;
    orders.name = {"orders"};
    orders.kind = upstream_kind::plain;
    orders.default_class = chat.name;
    orders.routes.push_back({"/place", false});
    config->services[orders.name] = orders;
    return config;
}

} // namespace

std::string piece_of(const std::string& prompt, std::uint64_t index)
{
    return prompt + ':' + std::to_string(index) + ';';
}

void later(world& w, duration span, std::size_t entry, serving_input input)
{
    w.pending.push_back({w.now + span, entry, std::move(input)});
}

void at_step(world& w, life_step step, std::uint64_t index, fake_attempt& at)
{
    if (w.hook)
        w.hook(step, index, at);
}

world::world(std::size_t count)
    : config(make_configuration())
    , entries(count)
    , drained_entries(count)
    , restarts(count)
{
    for (std::size_t i = 0; i < count; ++i)
    {
        entries[i].options.node = {"entry" + std::to_string(i)};
        entries[i].options.incarnation = 1;
        entries[i].options.seed = i;
    }
    for (int i = 0; i < 6; ++i)
        for (const std::string name : {"llm", "orders"})
        {
            fake_upstream one;
            one.id = {name + std::to_string(i)};
            one.service = {name};
            one.domain = {"domain" + std::to_string(i % 3)};
            upstreams[one.id] = one;
        }
}

caller_request stream_request(const std::string& prompt, std::uint64_t length)
{
    caller_request request;
    request.id = {"r-" + prompt};
    request.account = {"binder"};
    request.service = {"llm"};
    request.method = "POST";
    request.path = "/v1/chat/completions";
    request.stream = true;
    const nlohmann::json message = {
        {"role", "user"}, {"content", prompt + '/' + std::to_string(length)}};
    request.body =
        nlohmann::json{{"model", "llm"}, {"messages", {message}}}.dump();
    return request;
}

caller_request order_request(const std::string& name, const std::string& key)
{
    caller_request request;
    request.id = {"r-" + name};
    request.account = {"binder"};
    request.service = {"orders"};
    request.kind = upstream_kind::plain;
    request.method = "POST";
    request.path = "/place";
    request.idempotency_key = key;
    request.body = "order " + key;
    return request;
}

std::string expected_text(const std::string& prompt, std::uint64_t length)
{
    std::string text;
    for (std::uint64_t i = 0; i < length; ++i)
        text += piece_of(prompt, i);
    return text;
}

fake_caller& send(world& w, const caller_request& request, std::size_t entry)
{
    fake_caller& caller = w.callers[request.id.value];
    caller.entry = entry;
    caller.request = request;
    caller.connection = request.id;
    feed(w, entry, request_arrived{request});
    return caller;
}

void run_for(world& w, duration span)
{
    for (const time_point end = w.now + span; w.now < end;)
        advance(w);
}

void run_until_answered(world& w, duration limit)
{
    const auto all_ended = [&w]
    {
        return std::all_of(
            w.callers.begin(),
            w.callers.end(),
            [](const auto& item) { return item.second.ended; });
    };
    for (const time_point end = w.now + limit; w.now < end && !all_ended();)
        advance(w);
}

void kill(world& w, const upstream_id& id, bool domain_lost)
{
    fake_upstream& target = w.upstreams[id];
    if (!target.alive)
        return;
    target.alive = false;
    std::vector<fake_attempt> broken;
    for (const auto& [attempt, value] : w.attempts)
        if (value.sent.target == id && value.accepted)
            broken.push_back(value);
    for (const fake_attempt& attempt : broken)
    {
        w.attempts.erase(attempt.sent.attempt);
        if (!attempt.cut)
            later(
                w,
                duration::zero(),
                attempt.entry,
                attempt_failed{
                    attempt.sent.attempt, attempt_failure::broken, 0, {}});
    }
    for (std::size_t i = 0; i < w.entries.size(); ++i)
        later(w, directory_delay, i, upstream_gone{id, domain_lost});
    target.listed = false;
}

void restart_entry(world& w, std::size_t entry)
{
    const serving::life_cycle_options options = w.entries[entry].options;
    w.entries[entry] = {};
    w.entries[entry].options = options;
    ++w.entries[entry].options.incarnation;
    ++w.restarts[entry];
    std::erase_if(
        w.attempts,
        [entry](const auto& item) { return item.second.entry == entry; });
    std::erase_if(
        w.pending,
        [entry](const pending_input& item) { return item.entry == entry; });
    for (auto& [key, record] : w.journal)
        if (record.owner == options.node &&
            record.state == journal_state::in_flight)
            record.state = journal_state::unknown;
}

void freeze(world& w, const upstream_id& id)
{
    w.upstreams[id].frozen = true;
    w.upstreams[id].listed = false;
    for (std::size_t i = 0; i < w.entries.size(); ++i)
        later(w, announcement_lease, i, upstream_gone{id, false});
}

void cut(world& w, fake_attempt& attempt)
{
    if (attempt.cut || attempt.sent.attempt.empty())
        return;
    attempt.cut = true;
    later(
        w,
        duration::zero(),
        attempt.entry,
        attempt_failed{attempt.sent.attempt, attempt_failure::broken, 0, {}});
}

void give_notice(world& w, const upstream_id& id, duration span)
{
    w.upstreams[id].listed = false;
    for (std::size_t i = 0; i < w.entries.size(); ++i)
        feed(w, i, upstream_leaves{id, w.now + span});
    w.dying.emplace_back(w.now + span, id);
}

} // namespace bergamotusher::serving_test
