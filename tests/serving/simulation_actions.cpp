#include "serving/simulation.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace bergamotusher::serving_test
{

namespace
{

constexpr duration delivery_delay = 5ms;
constexpr duration journal_delay = 4ms;

bool contains(const auto& list, const auto& value)
{
    return std::find(list.begin(), list.end(), value) != list.end();
}

choice_result choose(simulation& sim, const choice_request& question)
{
    sim.routing_queries.push_back(question);
    std::map<upstream_id, std::uint32_t> load;
    for (const auto& [id, attempt] : sim.attempts)
        ++load[attempt.sent.target];
    const fake_upstream* best = nullptr;
    bool any = false;
    const auto rank = [&](const fake_upstream& upstream)
    {
        return std::make_pair(
            contains(question.avoided, upstream.domain), load[upstream.id]);
    };
    for (const auto& [id, upstream] : sim.upstreams)
    {
        if (upstream.service != question.service || !upstream.listed ||
            contains(question.excluded, id))
            continue;
        any = true;
        if (load[id] < upstream.slots &&
            (best == nullptr || rank(upstream) < rank(*best)))
            best = &upstream;
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

/// Simulates the journal's handling of `begin`.
begin_result begin(simulation& sim, const journal_record& asked)
{
    const auto found = sim.journal.find(asked.key);
    if (sim.released.contains(asked.attempt))
        return {begin_outcome::unknown, asked};
    if (found == sim.journal.end())
        return {begin_outcome::begun, sim.journal[asked.key] = asked};
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

void carry_out(simulation& sim, std::size_t entry, const journal_begin& action)
{
    fake_attempt record_attempt;
    record_attempt.entry = entry;
    record_attempt.sent.target = action.record.target;
    run_step_hook(sim, request_step::before_record, 0, record_attempt);
    journal_answered answer{
        action.request, action.record.attempt, std::nullopt, false};
    if (sim.quorum)
        answer.result = begin(sim, action.record);
    const bool lost = sim.journal_answers_lost > 0;
    sim.journal_answers_lost -= lost;
    if (lost)
        answer = {action.request, action.record.attempt, std::nullopt, true};
    run_step_hook(sim, request_step::after_record, 0, record_attempt);
    if (sim.journal_answers_doubled-- > 0)
        feed_after(sim, journal_delay, entry, answer);
    feed_after(sim, journal_delay, entry, std::move(answer));
}

void carry_out(simulation& sim, std::size_t entry, const journal_finish& action)
{
    fake_attempt record_attempt;
    record_attempt.entry = entry;
    run_step_hook(sim, request_step::before_journal_finish, 0, record_attempt);
    const auto found = sim.journal.find(action.key);
    if (sim.journal_finishes_lost || found == sim.journal.end() ||
        found->second.attempt != action.attempt)
        return;
    found->second.state = journal_state::finished;
    found->second.answer = action.answer;
}

void carry_out(simulation& sim, std::size_t, const journal_release& action)
{
    sim.released.insert(action.attempt);
    const auto found = sim.journal.find(action.key);
    if (found != sim.journal.end() && found->second.attempt == action.attempt)
        sim.journal.erase(found);
}

void parse_prompt(fake_attempt& attempt)
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

void carry_out(simulation& sim, std::size_t entry, const dispatch& action)
{
    fake_attempt attempt;
    attempt.entry = entry;
    attempt.sent = action;
    attempt.due = sim.now + delivery_delay;
    parse_prompt(attempt);
    ++sim.dispatches[attempt.prompt];
    fake_attempt& kept = sim.attempts[action.attempt] = attempt;
    run_step_hook(sim, request_step::before_send, 0, kept);
}

void carry_out(simulation& sim, std::size_t, const cancel_attempt& action)
{
    sim.attempts.erase(action.attempt);
}

fake_caller* caller_at(simulation& sim, const request_id& connection)
{
    for (auto& [name, caller] : sim.callers)
        if (caller.connection == connection)
            return &caller;
    return nullptr;
}

void carry_out(simulation& sim, std::size_t, const answer_piece& action)
{
    fake_caller* caller = caller_at(sim, action.connection);
    if (caller == nullptr)
        return;
    if (caller->ended || action.event != caller->last_event + 1)
        caller->protocol_error = "event " + std::to_string(action.event);
    caller->last_event = action.event;
    caller->text += action.text;
}

void carry_out(simulation& sim, std::size_t, const answer_end& action)
{
    fake_caller* caller = caller_at(sim, action.connection);
    if (caller == nullptr)
        return;
    if (caller->ended)
        caller->protocol_error = "ended twice";
    caller->ended = true;
    caller->body = action.body;
}

void carry_out(simulation& sim, std::size_t, const answer_error& action)
{
    fake_caller* caller = caller_at(sim, action.connection);
    if (caller == nullptr)
        return;
    if (caller->ended)
        caller->protocol_error = "ended twice";
    caller->ended = true;
    caller->error = action;
}

std::size_t entry_of(const simulation& sim, const node_id& node)
{
    for (std::size_t i = 0; i < sim.entries.size(); ++i)
        if (sim.entries[i].options.node == node)
            return i;
    return 0;
}

void carry_out(simulation& sim, std::size_t, const redirect_caller& action)
{
    fake_caller* caller = caller_at(sim, action.connection);
    if (caller == nullptr)
        return;
    ++caller->moves;
    caller->entry = entry_of(sim, action.successor);
    caller->connection = {"c" + std::to_string(++sim.connections_made)};
    feed_after(
        sim,
        delivery_delay,
        caller->entry,
        caller_reattached{
            caller->connection,
            action.request,
            caller->request.account,
            caller->last_event});
}

void carry_out(simulation& sim, std::size_t entry, const hand_over& action)
{
    const node_id& from = sim.entries[entry].options.node;
    if (sim.successors_decline)
        return feed_after(
            sim,
            delivery_delay,
            entry,
            hand_over_answered{action.state.request.id, false});
    request_handed_over state = action.state;
    state.from = from;
    feed_after(
        sim, delivery_delay, entry_of(sim, action.successor), std::move(state));
}

void carry_out(simulation& sim, std::size_t, const hand_over_reply& action)
{
    feed_after(
        sim,
        delivery_delay,
        entry_of(sim, action.to),
        hand_over_answered{action.request, action.taken});
}

void carry_out(simulation& sim, std::size_t entry, const report_crash& action)
{
    for (std::size_t i = 0; i < sim.entries.size(); ++i)
    {
        if (i == entry || (!action.to.empty() &&
                           !contains(action.to, sim.entries[i].options.node)))
            continue;
        if (sim.crash_reports_lost > 0)
        {
            --sim.crash_reports_lost;
            continue;
        }
        feed_after(
            sim,
            sim.crash_report_delay,
            i,
            crash_reported{
                action.fingerprint,
                action.target,
                action.domain,
                sim.entries[entry].options.node});
    }
}

void carry_out(
    simulation& sim, std::size_t entry, const acknowledge_crash& action)
{
    if (sim.crash_acknowledgements_lost)
        return;
    feed_after(
        sim,
        sim.crash_report_delay,
        entry_of(sim, action.to),
        crash_acknowledged{
            sim.entries[entry].options.node,
            action.fingerprint,
            action.target});
}

std::vector<node_id> live_entries(const simulation& sim, std::size_t self)
{
    std::vector<node_id> live;
    for (std::size_t i = 0; i < sim.entries.size(); ++i)
        if (i != self)
            live.push_back(sim.entries[i].options.node);
    return live;
}

void carry_out(simulation& sim, std::size_t entry, const drained&)
{
    sim.drained_entries[entry] = true;
}

template<class Other>
void carry_out(simulation&, std::size_t, const Other&)
{
}

} // namespace

void feed(simulation& sim, std::size_t entry, const serving_input& input)
{
    const serving::serving_context context{
        sim.config,
        [&sim](const choice_request& question, time_point)
        { return choose(sim, question); },
        wall_time{},
        {},
        [&sim, entry]
        {
            return live_entries(sim, entry);
        }};
    const int restarts_before = sim.restarts[entry];
    for (const serving_action& action :
         serving::step(sim.entries[entry], input, context, sim.now))
    {
        if (restarts_before != sim.restarts[entry])
            return;
        sim.action_log.push_back(action);
        std::visit(
            [&](const auto& value) { carry_out(sim, entry, value); }, action);
    }
}

} // namespace bergamotusher::serving_test
