#include "serving/world.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace bergamotusher::serving_test
{

namespace
{

constexpr duration small_step = 5ms;
constexpr duration journal_delay = 4ms;
constexpr duration directory_delay = 500ms;
constexpr duration announcement_lease = 2s;

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

bool contains(const auto& list, const auto& value)
{
    return std::find(list.begin(), list.end(), value) != list.end();
}

choice_result choose(world& w, const choice_request& question)
{
    w.questions.push_back(question);
    std::map<upstream_id, std::uint32_t> load;
    for (const auto& [id, attempt] : w.attempts)
        ++load[attempt.sent.target];
    const fake_upstream* best = nullptr;
    bool any = false;
    const auto rank = [&](const fake_upstream& one)
    {
        return std::make_pair(
            contains(question.avoided, one.domain), load[one.id]);
    };
    for (const auto& [id, one] : w.upstreams)
    {
        if (one.service != question.service || !one.listed ||
            contains(question.excluded, id))
            continue;
        any = true;
        if (load[id] < one.slots &&
            (best == nullptr || rank(one) < rank(*best)))
            best = &one;
    }
    if (best == nullptr)
        return no_choice{
            any ? no_choice_reason::wait : no_choice_reason::none_known, 20ms};
    choice result;
    result.id = best->id;
    result.version = {"v1"};
    result.address = best->id.value;
    result.domain = best->domain;
    result.recomputed_tokens = question.prompt_tokens;
    return result;
}

/// What the journal's state machine does with `begin`.
begin_result begin(world& w, const journal_record& asked)
{
    const auto found = w.journal.find(asked.key);
    if (w.released.contains(asked.attempt))
        return {begin_outcome::unknown, asked};
    if (found == w.journal.end())
        return {begin_outcome::begun, w.journal[asked.key] = asked};
    const journal_record& held = found->second;
    if (held.fingerprint != asked.fingerprint)
        return {begin_outcome::conflict, held};
    if (held.state == journal_state::finished)
        return {begin_outcome::finished, held};
    if (held.state == journal_state::unknown)
        return {begin_outcome::unknown, held};
    return {
        held.attempt == asked.attempt ? begin_outcome::begun
                                      : begin_outcome::in_flight,
        held};
}

void carry_out(world& w, std::size_t entry, const journal_begin& action)
{
    fake_attempt none;
    none.entry = entry;
    none.sent.target = action.record.target;
    at_step(w, life_step::before_record, 0, none);
    journal_answered answer{
        action.request, action.record.attempt, std::nullopt, false};
    if (w.quorum)
        answer.result = begin(w, action.record);
    if (w.journal_answers_lost)
        answer = {action.request, action.record.attempt, std::nullopt, true};
    at_step(w, life_step::after_record, 0, none);
    later(w, journal_delay, entry, std::move(answer));
}

void carry_out(world& w, std::size_t entry, const journal_finish& action)
{
    fake_attempt none;
    none.entry = entry;
    at_step(w, life_step::before_journal_finish, 0, none);
    const auto found = w.journal.find(action.key);
    if (w.finishes_lost || found == w.journal.end() ||
        found->second.attempt != action.attempt)
        return;
    found->second.state = journal_state::finished;
    found->second.answer = action.answer;
}

void carry_out(world& w, std::size_t, const journal_release& action)
{
    w.released.insert(action.attempt);
    const auto found = w.journal.find(action.key);
    if (found != w.journal.end() && found->second.attempt == action.attempt)
        w.journal.erase(found);
}

void read_prompt(fake_attempt& attempt)
{
    if (attempt.sent.kind == upstream_kind::plain)
    {
        attempt.prompt = attempt.sent.body;
        return;
    }
    const auto body = nlohmann::json::parse(attempt.sent.body);
    const std::string content = body["messages"][0]["content"];
    const std::size_t slash = content.find('/');
    attempt.prompt = content.substr(0, slash);
    attempt.length = std::stoull(content.substr(slash + 1));
    if (body["messages"].size() < 2)
        return;
    const std::string text = body["messages"][1]["content"];
    attempt.resumed_from =
        static_cast<std::uint64_t>(std::count(text.begin(), text.end(), ';'));
    if (text != expected_text(attempt.prompt, attempt.resumed_from))
        attempt.prompt = "wrong resume of " + attempt.prompt;
}

void carry_out(world& w, std::size_t entry, const dispatch& action)
{
    fake_attempt attempt;
    attempt.entry = entry;
    attempt.sent = action;
    attempt.due = w.now + small_step;
    read_prompt(attempt);
    ++w.dispatches[attempt.prompt];
    fake_attempt& kept = w.attempts[action.attempt] = attempt;
    at_step(w, life_step::before_send, 0, kept);
}

void carry_out(world& w, std::size_t, const cancel_attempt& action)
{
    w.attempts.erase(action.attempt);
}

fake_caller* caller_at(world& w, const request_id& connection)
{
    for (auto& [name, caller] : w.callers)
        if (caller.connection == connection)
            return &caller;
    return nullptr;
}

void carry_out(world& w, std::size_t, const answer_piece& action)
{
    fake_caller* caller = caller_at(w, action.connection);
    if (caller == nullptr)
        return;
    if (caller->ended || action.event != caller->last_event + 1)
        caller->complaint = "event " + std::to_string(action.event);
    caller->last_event = action.event;
    caller->text += action.text;
}

void carry_out(world& w, std::size_t, const answer_end& action)
{
    fake_caller* caller = caller_at(w, action.connection);
    if (caller == nullptr)
        return;
    if (caller->ended)
        caller->complaint = "ended twice";
    caller->ended = true;
    caller->body = action.body;
}

void carry_out(world& w, std::size_t, const answer_error& action)
{
    fake_caller* caller = caller_at(w, action.connection);
    if (caller == nullptr)
        return;
    if (caller->ended)
        caller->complaint = "ended twice";
    caller->ended = true;
    caller->error = action;
}

std::size_t entry_of(const world& w, const node_id& node)
{
    for (std::size_t i = 0; i < w.entries.size(); ++i)
        if (w.entries[i].options.node == node)
            return i;
    return 0;
}

void carry_out(world& w, std::size_t, const answer_moved& action)
{
    fake_caller* caller = caller_at(w, action.connection);
    if (caller == nullptr)
        return;
    ++caller->moves;
    caller->entry = entry_of(w, action.successor);
    caller->connection = {"c" + std::to_string(++w.connections_made)};
    later(
        w,
        small_step,
        caller->entry,
        request_resumed{
            caller->connection,
            action.request,
            caller->request.account,
            caller->last_event});
}

void carry_out(world& w, std::size_t entry, const hand_over& action)
{
    const node_id& from = w.entries[entry].options.node;
    if (w.successors_decline)
        return later(
            w,
            small_step,
            entry,
            hand_over_answered{action.state.request.id, false});
    request_handed_over state = action.state;
    state.from = from;
    later(w, small_step, entry_of(w, action.successor), std::move(state));
}

void carry_out(world& w, std::size_t, const hand_over_reply& action)
{
    later(
        w,
        small_step,
        entry_of(w, action.to),
        hand_over_answered{action.request, action.taken});
}

void carry_out(world& w, std::size_t entry, const report_crash& action)
{
    for (std::size_t i = 0; i < w.entries.size(); ++i)
        if (i != entry)
            later(
                w,
                small_step,
                i,
                crash_reported{
                    action.fingerprint, action.target, action.domain});
}

void carry_out(world& w, std::size_t entry, const drained&)
{
    w.drained_entries[entry] = true;
}

template<class Other>
void carry_out(world&, std::size_t, const Other&)
{
}

void tell(world& w, const fake_attempt& attempt, const serving_input& input)
{
    if (attempt.cut || attempt.mute)
        return;
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
    attempt.accepted = true;
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

world::world(std::size_t count)
    : config(make_configuration()), entries(count), drained_entries(count)
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

void feed(world& w, std::size_t entry, const serving_input& input)
{
    const serving::serving_context context{
        w.config,
        [&w](const choice_request& question, time_point)
        { return choose(w, question); },
        wall_time{},
        {}};
    for (const serving_action& action :
         serving::step(w.entries[entry], input, context, w.now))
    {
        w.log.push_back(action);
        std::visit(
            [&](const auto& value) { carry_out(w, entry, value); }, action);
    }
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
