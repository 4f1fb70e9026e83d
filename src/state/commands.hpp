// Commands of the replicated state machine and their results as plain
// structs, with their encoding. Only this module's .cpp files know protobuf.
#pragma once

#include <bergamotusher/configuration.hpp>
#include <bergamotusher/error_kind.hpp>
#include <bergamotusher/journal.hpp>
#include <bergamotusher/version_move.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace bergamotusher::state
{

/// One thing that an operator sets.
using configuration_entry = std::variant<work_class, service, account>;

/// Sets one entry if the operators' revision is still `expected_revision`.
struct put_entry
{
    configuration_entry value;
    std::uint64_t expected_revision = 0;
    /// Idempotency key of the operator's try; empty for none.
    std::string operator_key;
};

/// Records that an attempt is about to be sent.
struct begin_request
{
    journal_record record;
};

/// Stores the answer of an attempt.
struct finish_request
{
    journal_key key;
    node_id owner;
    std::uint64_t owner_incarnation = 0;
    attempt_id attempt;
    stored_answer answer;
};

/// Records that an attempt certainly did not run.
struct release_request
{
    journal_key key;
    node_id owner;
    std::uint64_t owner_incarnation = 0;
    attempt_id attempt;
};

/// Marks as unknown what this start of `owner`, and each earlier one, had in
/// flight.
struct lose_owner
{
    node_id owner;
    std::uint64_t incarnation = 0;
};

/// Starts a version move.
struct start_move
{
    service_name service;
    /// May be empty: the version that the last move settled, or the most
    /// common one.
    version_name from;
    version_name to;
    /// Counts only if `within_ms` is zero.
    wall_time deadline;
    /// The deadline, counted from the proposer's time; equal for a resend.
    std::int64_t within_ms = 0;
    /// Idempotency key of the operator's try; empty for none.
    std::string operator_key;
};

/// Replaces a move by its next step; ends it if the step is an end.
struct advance_move
{
    version_move move;
};

/// Refuses requests with this fingerprint from here on.
struct quarantine_fingerprint
{
    std::string fingerprint;
};

using command = std::variant<
    put_entry,
    begin_request,
    finish_request,
    release_request,
    lose_owner,
    start_move,
    advance_move,
    quarantine_fingerprint>;

/// What a command did.
struct command_outcome
{
    /// No value: it took effect.
    std::optional<failure> error;
    /// The configuration's revision: the command's own, or, if it came too
    /// late, the one that won.
    std::uint64_t revision = 0;
    /// The move that it speaks of.
    move_id move;
    /// Of `begin_request` only.
    std::optional<begin_result> begin;
    /// True if this is the result of an earlier, equal command.
    bool resent = false;
    /// Of a batch: one for each command, in order.
    std::vector<command_outcome> batch;
};

/// Encodes `value`; `now` is the proposer's wall time.
std::string encode(const command& value, wall_time now);

/// Encodes a batch of encoded commands, which are applied in order.
std::string
encode_batch(const std::vector<std::string>& commands, wall_time now);

/// The plain form of what `apply` returned; nothing if it cannot be read.
std::optional<command_outcome> parse_result(std::string_view encoded);

/// Encodes a configuration for entries that hold no replica.
std::string encode(const configuration& value);

/// Reads what `encode(const configuration&)` wrote.
std::optional<configuration> parse_configuration(std::string_view encoded);

} // namespace bergamotusher::state
