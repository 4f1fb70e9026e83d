// The replicated state machine: configuration, journal of non-repeatable
// requests, version moves.
//
// Pure and deterministic: equal logs give equal states, results and snapshots
// on every replica. The state's clock is set only by the timestamps in the
// commands, so it may lag behind the proposers' clocks and never goes back.
//
// Journal: finished and unknown records are kept for
// `limits::journal_window_ms` by that clock. Within this window no request
// with the same key runs twice. A `begin_request` that is older than the
// window, or that arrives when the journal is full, is refused and not
// run.
#pragma once

#include "state/commands.hpp"

#include <bergamotusher/configuration.hpp>
#include <bergamotusher/journal.hpp>
#include <bergamotusher/version_move.hpp>

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <system_error>
#include <utility>

namespace bergamotusher::state
{

/// Limits of the replicated state. All replicas must use the same values,
/// otherwise their states diverge.
struct limits
{
    /// How long an idempotency key is kept after the last change of its
    /// journal record.
    std::int64_t journal_window_ms = 86'400'000;
    /// Maximum number of journal records; further `begin_request` commands
    /// are refused.
    std::size_t max_journal_records = 50'000;
    /// Larger answer bodies are not stored.
    std::size_t max_answer_body_bytes = 65'536;
    /// Maximum total size of stored answer bodies. Above it the oldest bodies
    /// are dropped and their answers are marked as truncated.
    std::size_t max_stored_answer_bytes = 8'388'608;
    /// Maximum advance of the state's clock by one log entry, so that one
    /// proposer with a wrong clock cannot expire the journal.
    std::int64_t max_clock_step_ms = 60'000;
    std::size_t max_history_items = 200;
    std::size_t max_operator_results = 10'000;
    std::size_t max_ended_moves = 100;
    std::size_t max_quarantined = 1'000;
    /// Maximum number of classes, of services, and of accounts.
    std::size_t max_entries_per_kind = 10'000;
    /// Minimum time from the start of a version move to its deadline.
    std::int64_t min_move_time_ms = 60'000;
};

/// One journal record with the bookkeeping of the state machine.
struct journal_entry
{
    journal_record record;
    /// Time of the last change; the record expires one window later.
    wall_time changed;
    /// The attempt did not run, so another attempt may use the key.
    bool released = false;

    bool operator==(const journal_entry&) const = default;
};

/// The journal. Indexes and totals are derived from `entries` and not part of
/// snapshots.
struct journal
{
    std::map<journal_key, journal_entry> entries;
    /// All records, least recently changed first.
    std::set<std::pair<wall_time, journal_key>> by_age;
    /// Finished records with a stored body, least recently changed first.
    std::set<std::pair<wall_time, journal_key>> bodies;
    /// Total size of the stored bodies.
    std::size_t body_bytes = 0;
};

/// One configuration change, as listed by `GET /v1/config/history`.
struct history_item
{
    std::uint64_t revision = 0;
    wall_time at;
    /// "class", "service", "account", "move" or "quarantine".
    std::string what;
    std::string name;

    bool operator==(const history_item&) const = default;
};

/// Stored result of an operator's command, returned again when the command is
/// resent with the same idempotency key.
struct operator_result
{
    /// The encoded command without its time; detects reuse of the key for
    /// another command.
    std::string fingerprint;
    wall_time at;
    command_outcome outcome;
};

/// The complete replicated state.
struct replicated_state
{
    limits bounds;
    /// Log index of the last command applied.
    std::uint64_t applied = 0;
    wall_time clock;
    /// Revision of the last `put_entry`, which the next `put_entry` must name
    /// as its expected revision. Version moves and quarantines raise only the
    /// configuration's revision, which is therefore never smaller.
    std::uint64_t operator_revision = 0;
    /// Never null. Each change replaces the object, so readers may keep it.
    std::shared_ptr<const configuration> current =
        std::make_shared<const configuration>();
    std::deque<history_item> history;
    std::map<std::string, operator_result> operator_results;
    std::set<std::pair<wall_time, std::string>> operator_results_by_age;
    journal requests;
    std::map<move_id, version_move> moves;
    /// The version that each service's last move ended with.
    std::map<service_name, version_name> settled_versions;
};

/// Applies the command at log index `index` and returns the encoded result. A
/// command whose index has been applied already changes nothing.
std::string
apply(replicated_state& state, std::uint64_t index, std::string_view command);

/// Serializes the state without `bounds`; equal states give equal bytes.
std::string snapshot(const replicated_state& state);

/// Replaces `state` by a snapshot and keeps its `bounds`. Errors:
/// `malformed_message`, which leaves `state` unchanged.
std::error_code restore(replicated_state& state, std::string_view snapshot);

/// The current configuration, by which entries serve requests.
std::shared_ptr<const configuration> published(const replicated_state& state);

/// The journal record of `key`; nothing if there is none or its attempt was
/// released.
std::optional<journal_record>
find(const replicated_state& state, const journal_key& key);

/// The move of `service` that has not ended, or null.
const version_move*
running_move(const replicated_state& state, const service_name& service);

} // namespace bergamotusher::state
