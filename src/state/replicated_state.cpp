#include "state/replicated_state.hpp"

#include "state/convert.hpp"
#include "state/transitions.hpp"

#include <algorithm>

namespace bergamotusher::state
{

namespace
{

/// Where a command stands in the log.
struct position
{
    std::uint64_t index = 0;
    /// Counts the commands of one log entry.
    std::size_t number = 0;
    wall_time proposed;
};

command_outcome
run(replicated_state& state, position& at, const wire::command& command);

template<class Request, class Message>
Request attempt_of(const Message& from)
{
    Request to;
    to.key = {{from.account()}, from.key()};
    to.owner.value = from.owner();
    to.owner_incarnation = from.owner_incarnation();
    to.attempt.value = from.attempt();
    return to;
}

command_outcome unreadable(const replicated_state& state)
{
    return refused(
        state, error_kind::malformed_message, "the command cannot be read");
}

command_outcome run_put(
    replicated_state& state,
    const position& at,
    const wire::put_entry_command& from)
{
    put_entry command;
    command.expected_revision = from.expected_revision();
    command.operator_key = from.operator_key();
    switch (from.value_case())
    {
    case wire::put_entry_command::kWorkClass:
        command.value = read(from.work_class());
        break;
    case wire::put_entry_command::kService:
        command.value = read(from.service());
        break;
    case wire::put_entry_command::kAccount:
        command.value = read(from.account());
        break;
    case wire::put_entry_command::VALUE_NOT_SET:
        return unreadable(state);
    }
    return apply_command(state, at.index, command);
}

command_outcome run_finish(
    replicated_state& state,
    const position& at,
    const wire::journal_finish_command& from)
{
    auto request = attempt_of<finish_request>(from);
    request.answer = read(from.answer());
    return finish(state, at.proposed, request);
}

command_outcome run_start(
    replicated_state& state,
    const position& at,
    const wire::start_move_command& from)
{
    const start_move command{
        {from.service()},
        {from.from()},
        {from.to()},
        {from.deadline_ms()},
        from.within_ms(),
        from.operator_key()};
    return start(state, at.index, at.number, at.proposed, command);
}

command_outcome run_batch(
    replicated_state& state, position& at, const wire::batch_command& batch)
{
    command_outcome outcome;
    outcome.revision = state.current->revision;
    for (const std::string& encoded : batch.commands())
    {
        wire::command each;
        const bool readable = each.ParseFromString(encoded) &&
                              each.body_case() != wire::command::kBatch;
        outcome.batch.push_back(
            readable ? run(state, at, each) : unreadable(state));
        ++at.number;
    }
    return outcome;
}

void advance_clock(replicated_state& state, wall_time proposed)
{
    auto& clock = state.clock.milliseconds;
    if (clock == 0)
        clock = proposed.milliseconds;
    const std::int64_t most = clock + state.bounds.clock_step;
    clock = std::clamp(proposed.milliseconds, clock, most);
}

command_outcome
run(replicated_state& state, position& at, const wire::command& command)
{
    at.proposed.milliseconds = command.wall_ms();
    switch (command.body_case())
    {
    case wire::command::kPutEntry:
        return run_put(state, at, command.put_entry());
    case wire::command::kBegin:
        return begin(state, at.proposed, {read(command.begin().record())});
    case wire::command::kFinish:
        return run_finish(state, at, command.finish());
    case wire::command::kRelease:
        return release(
            state, at.proposed, attempt_of<release_request>(command.release()));
    case wire::command::kOwnerLost:
        return lose(
            state,
            {{command.owner_lost().owner()},
             command.owner_lost().incarnation()});
    case wire::command::kStartMove:
        return run_start(state, at, command.start_move());
    case wire::command::kAdvanceMove:
        return advance(state, at.index, {read(command.advance_move().move())});
    case wire::command::kQuarantine:
        return quarantine(
            state, at.index, {command.quarantine().fingerprint()});
    case wire::command::kBatch:
        return run_batch(state, at, command.batch());
    case wire::command::BODY_NOT_SET:
        break;
    }
    return unreadable(state);
}

std::string encoded(const command_outcome& outcome)
{
    wire::command_result message;
    write(message, outcome);
    return message.SerializeAsString();
}

} // namespace

std::string
apply(replicated_state& state, std::uint64_t index, std::string_view command)
{
    if (index <= state.applied)
        return encoded(
            refused(state, error_kind::fenced, "the index was applied"));
    state.applied = index;
    wire::command message;
    if (!message.ParseFromArray(
            command.data(), static_cast<int>(command.size())))
        return encoded(unreadable(state));
    advance_clock(state, {message.wall_ms()});
    expire_journal(state);
    position at{index, 0, {}};
    return encoded(run(state, at, message));
}

std::shared_ptr<const configuration> published(const replicated_state& state)
{
    return state.current;
}

} // namespace bergamotusher::state
