// Commands of the replicated state machine and their results as plain
// structs, and their encoding. Protobuf is used only in this module's .cpp
// files.
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

/// A configuration object that operators create or replace.
using configuration_entry = std::variant<work_class, service, account>;

/// Creates or replaces one configuration object if `operator_revision` of the
/// state equals `expected_revision`.
struct put_entry
{
    configuration_entry value;
    std::uint64_t expected_revision = 0;
    /// The operator's Idempotency-Key; empty if there is none.
    std::string operator_key;
};

/// Records in the journal that an attempt is about to be sent.
struct begin_request
{
    journal_record record;
};

/// Stores the answer of an attempt in the journal.
struct finish_request
{
    journal_key key;
    node_id owner;
    std::uint64_t owner_incarnation = 0;
    attempt_id attempt;
    stored_answer answer;
};

/// Records that an attempt did certainly not run, which frees its key for
/// another attempt.
struct release_request
{
    journal_key key;
    node_id owner;
    std::uint64_t owner_incarnation = 0;
    attempt_id attempt;
};

/// Sets the requests that `owner` had in flight in this or an earlier
/// incarnation to `journal_state::unknown`.
struct mark_owner_lost
{
    node_id owner;
    std::uint64_t incarnation = 0;
};

/// Starts a version move.
struct start_move
{
    service_name service;
    /// Empty means the version that the last move ended with or, without an
    /// earlier move, the most common one.
    version_name from;
    version_name to;
    /// Used only if `within_ms` is zero.
    wall_time deadline;
    /// The deadline relative to the proposer's time; unlike an absolute
    /// deadline it stays the same when the command is resent.
    std::int64_t within_ms = 0;
    /// The operator's Idempotency-Key; empty if there is none.
    std::string operator_key;
};

/// Replaces a move by its next step, which may end it.
struct advance_move
{
    version_move move;
};

/// Quarantines a fingerprint: entries refuse requests that have it.
struct quarantine_fingerprint
{
    std::string fingerprint;
};

using command = std::variant<
    put_entry,
    begin_request,
    finish_request,
    release_request,
    mark_owner_lost,
    start_move,
    advance_move,
    quarantine_fingerprint>;

/// Result of a command.
struct command_outcome
{
    /// No value if the command took effect.
    std::optional<failure> error;
    /// Revision of the configuration after the command; after a revision
    /// conflict, the revision that was expected instead.
    std::uint64_t revision = 0;
    /// The move that the command started or advanced.
    move_id move;
    /// Set for `begin_request` only.
    std::optional<begin_result> begin;
    /// This is the stored result of an earlier, equal command.
    bool resent = false;
    /// For a batch: the outcome of each command, in order.
    std::vector<command_outcome> batch;
};

/// Encodes a command; `now` is the proposer's wall time.
std::string encode(const command& value, wall_time now);

/// Encodes a batch of encoded commands. They are applied in order, each with
/// its own outcome.
std::string
encode_batch(const std::vector<std::string>& commands, wall_time now);

/// Decodes the result of `apply`; nothing if it is malformed.
std::optional<command_outcome> parse_result(std::string_view encoded);

/// Encodes a configuration for entries that hold no replica of the state.
std::string encode(const configuration& value);

/// Decodes the result of `encode(const configuration&)`; nothing if it is
/// malformed.
std::optional<configuration> parse_configuration(std::string_view encoded);

} // namespace bergamotusher::state
