// Messages between the control duty and the other duties (worker threads).
//
// A proposal is an encoded command of src/wire/command.proto. The control duty
// forwards it to the leader, on this node or another, and answers exactly once:
// `committed` with the state machine's result, `not_committed` if it is certain
// that the command never will be, `unknown` if the answer was lost or did not
// arrive before the deadline.
#pragma once

#include <bergamotusher/configuration.hpp>
#include <bergamotusher/evidence.hpp>
#include <bergamotusher/ids.hpp>
#include <bergamotusher/time.hpp>

#include <cstdint>
#include <memory>
#include <string>
#include <variant>

namespace bergamotusher
{

/// A command to commit.
struct proposal
{
    /// Identifies the proposal in its answer; unique within the process.
    std::uint64_t ticket = 0;
    /// Encoded `wire::command`.
    std::string command;
    /// The answer is `unknown` after this time.
    time_point deadline;
};

/// Outcome of a proposal.
enum class proposal_outcome
{
    committed,
    not_committed,
    unknown
};

/// The answer to a proposal.
struct proposal_answer
{
    std::uint64_t ticket = 0;
    proposal_outcome outcome = proposal_outcome::unknown;
    /// Encoded `wire::command_result`, if committed.
    std::string result;
    /// Log index, if committed.
    std::uint64_t index = 0;
};

/// A new configuration was applied on this node; the receiver puts it in force.
struct configuration_applied
{
    std::shared_ptr<const configuration> value;
};

/// Permission for this entry to accept new work under its current
/// configuration.
struct configuration_lease
{
    /// New work may be accepted until then.
    time_point valid_until;
    /// Everything that was committed by then is applied on this node.
    time_point confirmed_at;
};

/// Messages from the control duty to the serving and admin duties.
using control_message =
    std::variant<proposal_answer, configuration_applied, configuration_lease>;

} // namespace bergamotusher
