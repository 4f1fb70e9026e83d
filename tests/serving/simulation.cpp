#include "serving/simulation.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace bergamotusher::serving_test
{

namespace
{

constexpr duration tick_interval = 5ms;
constexpr duration directory_delay = 500ms;
constexpr duration announcement_lease = 2s;

void deliver(
    simulation& sim, const fake_attempt& attempt, const serving_input& input)
{
    if (attempt.disconnected || attempt.answers_lost)
        return;
    sim.attempt_inputs.push_back({sim.now, attempt.entry, input});
    const bool deliver_twice = attempt.answers_doubled;
    const std::size_t entry = attempt.entry;
    feed(sim, entry, input);
    if (deliver_twice)
        feed(sim, entry, input);
}

void finish_attempt(simulation& sim, const attempt_id& id)
{
    fake_attempt& attempt = sim.attempts[id];
    run_step_hook(sim, request_step::after_last_token, 0, attempt);
    if (!sim.attempts.contains(id) || !sim.upstreams[attempt.sent.target].alive)
        return;
    const fake_attempt ended = attempt;
    sim.attempts.erase(id);
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
    deliver(sim, ended, end);
}

void accept_attempt(simulation& sim, const attempt_id& id)
{
    fake_attempt& attempt = sim.attempts[id];
    const fake_upstream& target = sim.upstreams[attempt.sent.target];
    if (!target.alive || target.refusing)
    {
        const fake_attempt refused = attempt;
        sim.attempts.erase(id);
        return feed(
            sim,
            refused.entry,
            attempt_failed{id, attempt_failure::connection_refused, 0, {}});
    }
    if (target.failing)
    {
        const fake_attempt failed = attempt;
        sim.attempts.erase(id);
        ++sim.accepted[failed.prompt];
        return feed(
            sim,
            failed.entry,
            attempt_failed{id, attempt_failure::server_error, 500, {}});
    }
    attempt.accepted = true;
    ++sim.accepted[attempt.prompt];
    if (attempt.sent.kind == upstream_kind::plain)
        ++sim.runs[attempt.prompt];
    attempt.due = sim.now + target.token_interval;
    deliver(sim, attempt, attempt_sent{id});
    run_step_hook(sim, request_step::first_byte_sent, 0, attempt);
}

void advance_attempt(simulation& sim, const attempt_id& id)
{
    fake_attempt& attempt = sim.attempts[id];
    if (!attempt.accepted)
        return accept_attempt(sim, id);
    const fake_upstream& target = sim.upstreams[attempt.sent.target];
    if (attempt.disconnected)
    {
        sim.attempts.erase(id);
        return;
    }
    if (target.frozen)
        return;
    const std::uint64_t next = attempt.resumed_from + attempt.produced;
    if (next >= attempt.length)
        return finish_attempt(sim, id);
    run_step_hook(sim, request_step::token, next, attempt);
    const auto current = sim.attempts.find(id);
    if (current == sim.attempts.end() || current->second.disconnected ||
        target.frozen)
        return;
    attempt.due = sim.now + target.token_interval;
    deliver(
        sim,
        attempt,
        attempt_token{id, attempt.produced++, piece_of(attempt.prompt, next)});
}

void advance(simulation& sim)
{
    sim.now += tick_interval;
    std::vector<pending_input> due;
    std::vector<pending_input> rest;
    for (pending_input& item : sim.pending)
        (item.due <= sim.now ? due : rest).push_back(std::move(item));
    sim.pending = std::move(rest);
    for (const pending_input& item : due)
        feed(sim, item.entry, item.input);
    for (const auto& [at, id] : sim.scheduled_deaths)
        if (at <= sim.now)
            kill_upstream(sim, id);
    std::erase_if(
        sim.scheduled_deaths,
        [&sim](const auto& item) { return item.first <= sim.now; });
    std::vector<attempt_id> ready;
    for (const auto& [id, attempt] : sim.attempts)
        if (attempt.due <= sim.now)
            ready.push_back(id);
    for (const attempt_id& id : ready)
        if (sim.attempts.contains(id))
            advance_attempt(sim, id);
    for (std::size_t i = 0; i < sim.entries.size(); ++i)
        feed(sim, i, tick{});
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

void feed_after(
    simulation& sim, duration span, std::size_t entry, serving_input input)
{
    sim.pending.push_back({sim.now + span, entry, std::move(input)});
}

void run_step_hook(
    simulation& sim,
    request_step step,
    std::uint64_t index,
    fake_attempt& attempt)
{
    if (sim.step_hook)
        sim.step_hook(step, index, attempt);
}

simulation::simulation(std::size_t count)
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
            fake_upstream upstream;
            upstream.id = {name + std::to_string(i)};
            upstream.service = {name};
            upstream.domain = {"domain" + std::to_string(i % 3)};
            upstreams[upstream.id] = upstream;
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

fake_caller&
send(simulation& sim, const caller_request& request, std::size_t entry)
{
    fake_caller& caller = sim.callers[request.id.value];
    caller.entry = entry;
    caller.request = request;
    caller.connection = request.id;
    feed(sim, entry, request_arrived{request});
    return caller;
}

void run_for(simulation& sim, duration span)
{
    for (const time_point end = sim.now + span; sim.now < end;)
        advance(sim);
}

void run_until_answered(simulation& sim, duration limit)
{
    const auto all_ended = [&sim]
    {
        return std::all_of(
            sim.callers.begin(),
            sim.callers.end(),
            [](const auto& item) { return item.second.ended; });
    };
    for (const time_point end = sim.now + limit; sim.now < end && !all_ended();)
        advance(sim);
}

void kill_upstream(simulation& sim, const upstream_id& id, bool domain_lost)
{
    fake_upstream& target = sim.upstreams[id];
    if (!target.alive)
        return;
    target.alive = false;
    std::vector<fake_attempt> broken;
    for (const auto& [attempt, value] : sim.attempts)
        if (value.sent.target == id && value.accepted)
            broken.push_back(value);
    for (const fake_attempt& attempt : broken)
    {
        sim.attempts.erase(attempt.sent.attempt);
        if (!attempt.disconnected)
            feed_after(
                sim,
                duration::zero(),
                attempt.entry,
                attempt_failed{
                    attempt.sent.attempt, attempt_failure::broken, 0, {}});
    }
    for (std::size_t i = 0; i < sim.entries.size(); ++i)
        feed_after(sim, directory_delay, i, upstream_gone{id, domain_lost});
    target.listed = false;
}

void restart_entry(simulation& sim, std::size_t entry)
{
    const serving::life_cycle_options options = sim.entries[entry].options;
    sim.entries[entry] = {};
    sim.entries[entry].options = options;
    ++sim.entries[entry].options.incarnation;
    ++sim.restarts[entry];
    std::erase_if(
        sim.attempts,
        [entry](const auto& item) { return item.second.entry == entry; });
    std::erase_if(
        sim.pending,
        [entry](const pending_input& item) { return item.entry == entry; });
    for (auto& [key, record] : sim.journal)
        if (record.owner == options.node &&
            record.state == journal_state::in_flight)
            record.state = journal_state::unknown;
}

void freeze_upstream(simulation& sim, const upstream_id& id)
{
    sim.upstreams[id].frozen = true;
    sim.upstreams[id].listed = false;
    for (std::size_t i = 0; i < sim.entries.size(); ++i)
        feed_after(sim, announcement_lease, i, upstream_gone{id, false});
}

void break_connection(simulation& sim, fake_attempt& attempt)
{
    if (attempt.disconnected || attempt.sent.attempt.empty())
        return;
    attempt.disconnected = true;
    feed_after(
        sim,
        duration::zero(),
        attempt.entry,
        attempt_failed{attempt.sent.attempt, attempt_failure::broken, 0, {}});
}

void give_notice(simulation& sim, const upstream_id& id, duration span)
{
    sim.upstreams[id].listed = false;
    for (std::size_t i = 0; i < sim.entries.size(); ++i)
        feed(sim, i, upstream_leaves{id, sim.now + span});
    sim.scheduled_deaths.emplace_back(sim.now + span, id);
}

} // namespace bergamotusher::serving_test
