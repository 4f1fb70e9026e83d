#include "state/replicated_state.hpp"

#include "state/convert.hpp"
#include "state/transitions.hpp"

#include <algorithm>

namespace bergamotusher::state
{

namespace
{

/// Position of a command in the log.
struct log_position
{
    std::uint64_t index = 0;
    /// Position within the batch of this log entry.
    std::size_t number = 0;
    /// The proposer's wall time.
    wall_time proposed;
};

command_outcome apply_one(
    replicated_state& state, log_position& at, const wire::command& command);

template<class Request, class Message>
Request read_attempt(const Message& from)
{
    Request to;
    to.key = {{from.account()}, from.key()};
    to.owner.value = from.owner();
    to.owner_incarnation = from.owner_incarnation();
    to.attempt.value = from.attempt();
    return to;
}

command_outcome malformed_command(const replicated_state& state)
{
    return refused_outcome(
        state, error_kind::malformed_message, "the command cannot be read");
}

command_outcome apply_put_message(
    replicated_state& state,
    const log_position& at,
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
        return malformed_command(state);
    }
    return apply_put(state, at.index, command);
}

command_outcome apply_finish_message(
    replicated_state& state,
    const log_position& at,
    const wire::journal_finish_command& from)
{
    auto request = read_attempt<finish_request>(from);
    request.answer = read(from.answer());
    return apply_finish(state, at.proposed, request);
}

command_outcome apply_start_message(
    replicated_state& state,
    const log_position& at,
    const wire::start_move_command& from)
{
    const start_move command{
        {from.service()},
        {from.from()},
        {from.to()},
        {from.deadline_ms()},
        from.within_ms(),
        from.operator_key()};
    return apply_start_move(state, at.index, at.number, at.proposed, command);
}

command_outcome apply_batch_message(
    replicated_state& state, log_position& at, const wire::batch_command& batch)
{
    command_outcome outcome;
    outcome.revision = state.current->revision;
    for (const std::string& encoded : batch.commands())
    {
        wire::command each;
        const bool readable = each.ParseFromString(encoded) &&
                              each.body_case() != wire::command::kBatch;
        outcome.batch.push_back(
            readable ? apply_one(state, at, each) : malformed_command(state));
        ++at.number;
    }
    return outcome;
}

void advance_clock(replicated_state& state, wall_time proposed)
{
    auto& clock = state.clock.milliseconds;
    if (clock == 0)
        clock = proposed.milliseconds;
    const std::int64_t max_clock = clock + state.bounds.max_clock_step_ms;
    clock = std::clamp(proposed.milliseconds, clock, max_clock);
}

command_outcome apply_one(
    replicated_state& state, log_position& at, const wire::command& command)
{
    at.proposed.milliseconds = command.wall_ms();
    switch (command.body_case())
    {
    case wire::command::kPutEntry:
        return apply_put_message(state, at, command.put_entry());
    case wire::command::kBegin:
        return apply_begin(
            state, at.proposed, {read(command.begin().record())});
    case wire::command::kFinish:
        return apply_finish_message(state, at, command.finish());
    case wire::command::kRelease:
        return apply_release(
            state,
            at.proposed,
            read_attempt<release_request>(command.release()));
    case wire::command::kOwnerLost:
        return apply_owner_lost(
            state,
            {{command.owner_lost().owner()},
             command.owner_lost().incarnation()});
    case wire::command::kStartMove:
        return apply_start_message(state, at, command.start_move());
    case wire::command::kAdvanceMove:
        return apply_advance_move(
            state, at.index, {read(command.advance_move().move())});
    case wire::command::kQuarantine:
        return apply_quarantine(
            state, at.index, {command.quarantine().fingerprint()});
    case wire::command::kBatch:
        return apply_batch_message(state, at, command.batch());
    case wire::command::BODY_NOT_SET:
        break;
    }
    return malformed_command(state);
}

std::string encode_result(const command_outcome& outcome)
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
        return encode_result(refused_outcome(
            state, error_kind::fenced, "the index was applied"));
    state.applied = index;
    wire::command message;
    if (!message.ParseFromArray(
            command.data(), static_cast<int>(command.size())))
        return encode_result(malformed_command(state));
    advance_clock(state, {message.wall_ms()});
    expire_records(state);
    log_position at{index, 0, {}};
    return encode_result(apply_one(state, at, message));
}

std::shared_ptr<const configuration> published(const replicated_state& state)
{
    return state.current;
}

} // namespace bergamotusher::state
