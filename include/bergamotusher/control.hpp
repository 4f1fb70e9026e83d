// What the other duties ask of the control duty, and what it answers.
//
// A proposal is an encoded command of src/wire/command.proto. The control duty
// takes it to the leader, wherever that is, and answers once: `committed` with
// the state machine's result, `not_committed` when it is certain that it never
// will be, `unknown` when the answer was lost or did not come in time.
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
    /// Names the proposal in its answer; unique within the process.
    std::uint64_t ticket = 0;
    /// Encoded `wire::command`.
    std::string command;
    /// After this the answer `unknown` is given.
    time_point deadline;
};

/// What became of a proposal.
enum class proposal_outcome
{
    committed,
    not_committed,
    unknown
};

/// The one answer to a proposal.
struct proposal_answer
{
    std::uint64_t ticket = 0;
    proposal_outcome outcome = proposal_outcome::unknown;
    /// Encoded `wire::command_result`, if committed.
    std::string result;
    /// Log index, if committed.
    std::uint64_t index = 0;
};

/// A new configuration is applied here; take it into force.
struct configuration_applied
{
    std::shared_ptr<const configuration> value;
};

/// Whether this entry may take new work by the configuration it has.
struct configuration_lease
{
    /// New work may be taken until then.
    time_point valid_until;
};

/// What the control duty tells the serving and admin duties.
using control_news =
    std::variant<proposal_answer, configuration_applied, configuration_lease>;

} // namespace bergamotusher
