#include "daemon/state_host.hpp"

namespace bergamotusher
{

namespace
{

constexpr duration operator_limit = 5s;

void publish_if_new(state_host& host)
{
    const auto config = state::published(host.state);
    if (config->revision <= host.published_revision)
        return;
    host.published_revision = config->revision;
    host.links.publish(config);
}

void answer_read(state_host& host, const operator_task& task)
{
    const auto decision = state::decide(task.request, host.state);
    const auto* answer = std::get_if<state::operator_answer>(&decision);
    host.links.reply(
        {task.ticket,
         answer != nullptr ? *answer
                           : state::answer_to(failure{
                                 error_kind::method_not_allowed, ""})});
}

void answer_due_reads(state_host& host)
{
    while (!host.reads.empty() &&
           host.reads.begin()->first <= host.state.applied)
    {
        const operator_task task = std::move(host.reads.begin()->second);
        host.reads.erase(host.reads.begin());
        answer_read(host, task);
    }
}

void propose(
    state_host& host,
    operator_task task,
    std::optional<state::command> command,
    wall_time wall,
    time_point now)
{
    const std::uint64_t ticket = first_host_ticket + host.next_ticket++;
    // A read commits an empty batch: when that is applied here, so is
    // everything that was committed before the read began.
    const std::string encoded = command ? state::encode(*command, wall)
                                        : state::encode_batch({}, wall);
    host.waiting[ticket] = {std::move(task), std::move(command)};
    host.links.propose({ticket, encoded, now + operator_limit});
}

state::operator_answer
answer_of(const operator_wait& wait, const proposal_answer& answer)
{
    if (answer.outcome == proposal_outcome::not_committed)
        return state::answer_to(failure{error_kind::no_quorum, ""});
    if (answer.outcome == proposal_outcome::unknown)
        return state::answer_to(failure{
            error_kind::outcome_unknown,
            "send it again with the same Idempotency-Key"});
    const auto outcome = state::parse_result(answer.result);
    if (!outcome)
        return state::answer_to(failure{error_kind::internal, ""});
    return state::answer_to(*wait.proposed, *outcome);
}

} // namespace

std::string
apply(state_host& host, std::uint64_t index, std::string_view command)
{
    std::string result = state::apply(host.state, index, command);
    publish_if_new(host);
    answer_due_reads(host);
    return result;
}

std::error_code restore(state_host& host, std::string_view snapshot)
{
    const std::error_code error = state::restore(host.state, snapshot);
    if (error)
        return error;
    publish_if_new(host);
    answer_due_reads(host);
    return {};
}

void take(state_host& host, operator_task task, wall_time wall, time_point now)
{
    if (task.request.method == "GET")
        return propose(host, std::move(task), std::nullopt, wall, now);
    auto decision = state::decide(task.request, host.state);
    if (auto* answer = std::get_if<state::operator_answer>(&decision))
        return host.links.reply({task.ticket, std::move(*answer)});
    propose(
        host,
        std::move(task),
        std::get<state::command>(std::move(decision)),
        wall,
        now);
}

void take(state_host& host, const proposal_answer& answer)
{
    const auto found = host.waiting.find(answer.ticket);
    if (found == host.waiting.end())
        return;
    operator_wait wait = std::move(found->second);
    host.waiting.erase(found);
    const bool is_read = !wait.proposed;
    if (is_read && answer.outcome == proposal_outcome::committed)
    {
        host.reads.emplace(answer.index, std::move(wait.task));
        return answer_due_reads(host);
    }
    const proposal_answer& shown = answer;
    if (is_read)
        return host.links.reply(
            {wait.task.ticket,
             state::answer_to(failure{error_kind::no_quorum, ""})});
    host.links.reply({wait.task.ticket, answer_of(wait, shown)});
}

} // namespace bergamotusher
