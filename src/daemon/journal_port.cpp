#include "daemon/journal_port.hpp"

#include "state/commands.hpp"

namespace bergamotusher
{

namespace
{

constexpr duration begin_timeout = 5s;
constexpr duration finish_timeout = 10s;
constexpr duration retry_interval = 500ms;

proposal make_proposal(
    journal_client& port,
    pending_command pending,
    duration timeout,
    time_point now)
{
    proposal result{port.next_ticket++, pending.command, now + timeout};
    port.awaiting_answer[result.ticket] = std::move(pending);
    return result;
}

journal_update
begin_update(const pending_command& pending, const proposal_answer& answer)
{
    journal_answered input{
        pending.request, pending.attempt, std::nullopt, false};
    journal_update update;
    if (answer.outcome == proposal_outcome::committed)
    {
        const auto outcome = state::parse_result(answer.result);
        if (outcome && outcome->begin)
            input.result = outcome->begin;
        else if (!outcome || !outcome->error)
            input.lost = true;
    }
    else
        input.lost = answer.outcome == proposal_outcome::unknown;
    if (input.result && input.result->outcome == begin_outcome::begun)
    {
        event happened;
        happened.kind = pending.committed_event;
        happened.request = pending.request;
        happened.attempt = pending.attempt;
        happened.number = answer.index;
        update.event_to_record = happened;
    }
    update.input = std::move(input);
    return update;
}

} // namespace

proposal propose(
    journal_client& port,
    const journal_begin& action,
    wall_time wall,
    time_point now)
{
    journal_record record = action.record;
    record.owner = port.node;
    record.owner_incarnation = port.incarnation;
    record.begun = wall;
    return make_proposal(
        port,
        {action.request,
         record.attempt,
         state::encode(state::begin_request{record}, wall),
         event_kind::journal_begun},
        begin_timeout,
        now);
}

proposal propose(
    journal_client& port,
    const journal_finish& action,
    wall_time wall,
    time_point now)
{
    const state::finish_request command{
        action.key, port.node, port.incarnation, action.attempt, action.answer};
    return make_proposal(
        port,
        {{},
         action.attempt,
         state::encode(command, wall),
         event_kind::journal_finished},
        finish_timeout,
        now);
}

proposal propose(
    journal_client& port,
    const journal_release& action,
    wall_time wall,
    time_point now)
{
    const state::release_request command{
        action.key, port.node, port.incarnation, action.attempt};
    return make_proposal(
        port,
        {{},
         action.attempt,
         state::encode(command, wall),
         event_kind::journal_released},
        finish_timeout,
        now);
}

proposal
propose_lose_earlier_runs(journal_client& port, wall_time wall, time_point now)
{
    const state::mark_owner_lost command{port.node, port.incarnation - 1};
    return make_proposal(
        port,
        {{}, {}, state::encode(command, wall), event_kind::journal_released},
        finish_timeout,
        now);
}

journal_update handle_answer(
    journal_client& port, const proposal_answer& answer, time_point now)
{
    const auto found = port.awaiting_answer.find(answer.ticket);
    if (found == port.awaiting_answer.end())
        return {};
    pending_command pending = std::move(found->second);
    port.awaiting_answer.erase(found);
    if (!pending.request.empty())
        return begin_update(pending, answer);
    if (answer.outcome != proposal_outcome::committed)
    {
        port.retry_queue.emplace(now + retry_interval, std::move(pending));
        return {};
    }
    event happened;
    happened.kind = pending.committed_event;
    happened.attempt = pending.attempt;
    happened.number = answer.index;
    return {std::nullopt, happened};
}

bool is_idle(const journal_client& port)
{
    return port.awaiting_answer.empty() && port.retry_queue.empty();
}

std::vector<proposal> due_retries(journal_client& port, time_point now)
{
    std::vector<proposal> result;
    while (!port.retry_queue.empty() && port.retry_queue.begin()->first <= now)
    {
        pending_command pending = std::move(port.retry_queue.begin()->second);
        port.retry_queue.erase(port.retry_queue.begin());
        result.push_back(
            make_proposal(port, std::move(pending), finish_timeout, now));
    }
    return result;
}

} // namespace bergamotusher
