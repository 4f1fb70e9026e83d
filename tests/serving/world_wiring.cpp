#include "serving/world.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace bergamotusher::serving_test
{

namespace
{

constexpr duration small_step = 5ms;
constexpr duration journal_delay = 4ms;

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
    const bool lost = w.journal_answers_lost > 0;
    w.journal_answers_lost -= lost;
    if (lost)
        answer = {action.request, action.record.attempt, std::nullopt, true};
    at_step(w, life_step::after_record, 0, none);
    if (w.journal_answers_doubled-- > 0)
        later(w, journal_delay, entry, answer);
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

} // namespace

void feed(world& w, std::size_t entry, const serving_input& input)
{
    const serving::serving_context context{
        w.config,
        [&w](const choice_request& question, time_point)
        { return choose(w, question); },
        wall_time{},
        {}};
    const int life = w.restarts[entry];
    for (const serving_action& action :
         serving::step(w.entries[entry], input, context, w.now))
    {
        if (life != w.restarts[entry])
            return;
        w.log.push_back(action);
        std::visit(
            [&](const auto& value) { carry_out(w, entry, value); }, action);
    }
}

} // namespace bergamotusher::serving_test
