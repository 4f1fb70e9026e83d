// The replicated state machine: configuration, journal of non-repeatable
// requests, version moves.
//
// Pure and deterministic: equal logs give equal states, results and snapshots
// on every replica. Time comes from the commands only, so the state's clock
// trails the proposers' clocks and never goes back.
//
// Journal: finished and unknown records are kept for `journal_limits::window`
// by that clock; within it a key never runs twice. A `begin` that is older
// than the window, or that finds the journal full, is refused and not run.
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

/// Bounds of the replicated state; equal on all replicas.
struct limits
{
    /// How long a key is remembered after its request's last change, ms.
    std::int64_t window = 86'400'000;
    /// Records in the journal; `begin` is refused above it.
    std::size_t journal_records = 50'000;
    /// The largest answer body that is stored, bytes.
    std::size_t answer_body = 65'536;
    /// All stored bodies together, bytes; above it the oldest are dropped,
    /// and their answers read as truncated.
    std::size_t answer_bodies = 8'388'608;
    /// The most that one log entry moves the state's clock, ms.
    std::int64_t clock_step = 60'000;
    std::size_t history = 200;
    std::size_t operator_results = 10'000;
    std::size_t ended_moves = 100;
    std::size_t quarantined = 1'000;
    /// Classes, services and accounts, each.
    std::size_t entries = 10'000;
    /// The least time from the start of a move to its deadline, ms.
    std::int64_t move_time = 60'000;
};

/// One record of the journal, and what only the state machine needs of it.
struct journal_entry
{
    journal_record record;
    wall_time changed;
    /// The attempt did not run; the key is free for another attempt.
    bool released = false;

    bool operator==(const journal_entry&) const = default;
};

/// The journal and its orders by age, which follow from the records.
struct journal
{
    std::map<journal_key, journal_entry> entries;
    std::set<std::pair<wall_time, journal_key>> by_age;
    /// Finished records with a stored body, oldest first.
    std::set<std::pair<wall_time, journal_key>> bodies;
    std::size_t body_bytes = 0;
};

/// One change of the configuration, for operators to read.
struct history_item
{
    std::uint64_t revision = 0;
    wall_time at;
    /// "class", "service", "account", "move" or "quarantine".
    std::string what;
    std::string name;

    bool operator==(const history_item&) const = default;
};

/// The first result of an operator's try.
struct operator_result
{
    /// Equal for equal commands.
    std::string fingerprint;
    wall_time at;
    command_outcome outcome;
};

/// Everything that the quorum agrees on.
struct replicated_state
{
    limits bounds;
    /// Log index of the last command applied.
    std::uint64_t applied = 0;
    wall_time clock;
    /// Revision of the last change by an operator's `put_entry`; the one
    /// that compare-and-set compares, and at most the configuration's.
    std::uint64_t operator_revision = 0;
    /// Never null; replaced, not changed, by each change.
    std::shared_ptr<const configuration> current =
        std::make_shared<const configuration>();
    std::deque<history_item> history;
    std::map<std::string, operator_result> operator_results;
    std::set<std::pair<wall_time, std::string>> operator_results_by_age;
    journal requests;
    std::map<move_id, version_move> moves;
    /// The version that the last move of a service ended with.
    std::map<service_name, version_name> settled;
};

/// Applies the command at `index`; returns the encoded result. An index that
/// was applied before changes nothing.
std::string
apply(replicated_state& state, std::uint64_t index, std::string_view command);

/// The whole state, without the bounds, as bytes; equal for equal states.
std::string snapshot(const replicated_state& state);

/// Replaces `state` by a snapshot; it stays as it was on `malformed_message`.
std::error_code restore(replicated_state& state, std::string_view snapshot);

/// The configuration that entries serve by.
std::shared_ptr<const configuration> published(const replicated_state& state);

/// The journal's record under `key`, if it holds the key.
std::optional<journal_record>
find(const replicated_state& state, const journal_key& key);

/// The move of `service` that has not ended, if there is one.
const version_move*
running_move(const replicated_state& state, const service_name& service);

} // namespace bergamotusher::state
