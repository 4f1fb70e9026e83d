#include "daemon/journal_port.hpp"

#include "state/commands.hpp"

namespace bergamotusher
{

namespace
{

constexpr duration begin_limit = 5s;
constexpr duration finish_limit = 10s;
constexpr duration retry_pause = 500ms;

proposal make_proposal(
    journal_port& port, journal_wait wait, duration limit, time_point now)
{
    proposal result{port.next_ticket++, wait.command, now + limit};
    port.waiting[result.ticket] = std::move(wait);
    return result;
}

journal_news begin_news(const journal_wait& wait, const proposal_answer& answer)
{
    journal_answered input{wait.request, wait.attempt, std::nullopt, false};
    journal_news news;
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
        happened.kind = wait.done;
        happened.request = wait.request;
        happened.attempt = wait.attempt;
        happened.number = answer.index;
        news.event_to_record = happened;
    }
    news.input = std::move(input);
    return news;
}

} // namespace

proposal propose(
    journal_port& port,
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
        begin_limit,
        now);
}

proposal propose(
    journal_port& port,
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
        finish_limit,
        now);
}

proposal propose(
    journal_port& port,
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
        finish_limit,
        now);
}

proposal
propose_earlier_lost(journal_port& port, wall_time wall, time_point now)
{
    const state::lose_owner command{port.node, port.incarnation - 1};
    return make_proposal(
        port,
        {{}, {}, state::encode(command, wall), event_kind::journal_released},
        finish_limit,
        now);
}

journal_news
take(journal_port& port, const proposal_answer& answer, time_point now)
{
    const auto found = port.waiting.find(answer.ticket);
    if (found == port.waiting.end())
        return {};
    journal_wait wait = std::move(found->second);
    port.waiting.erase(found);
    if (!wait.request.empty())
        return begin_news(wait, answer);
    if (answer.outcome != proposal_outcome::committed)
    {
        port.again.emplace(now + retry_pause, std::move(wait));
        return {};
    }
    event happened;
    happened.kind = wait.done;
    happened.attempt = wait.attempt;
    happened.number = answer.index;
    return {std::nullopt, happened};
}

bool is_idle(const journal_port& port)
{
    return port.waiting.empty() && port.again.empty();
}

std::vector<proposal> due(journal_port& port, time_point now)
{
    std::vector<proposal> result;
    while (!port.again.empty() && port.again.begin()->first <= now)
    {
        journal_wait wait = std::move(port.again.begin()->second);
        port.again.erase(port.again.begin());
        result.push_back(
            make_proposal(port, std::move(wait), finish_limit, now));
    }
    return result;
}

} // namespace bergamotusher
