// Application of each kind of command to the replicated state, used by
// `apply`.
#pragma once

#include "state/replicated_state.hpp"

#include <functional>
#include <string>

namespace bergamotusher::state
{

/// Copies the configuration, applies `change` to the copy, publishes it with
/// `index` as its revision, and adds an item to the history.
void publish(
    replicated_state& state,
    std::uint64_t index,
    std::string what,
    std::string name,
    const std::function<void(configuration&)>& change);

/// The stored result of an earlier command with this idempotency key; a
/// `key_conflict` if that was another command; nothing if there was none.
std::optional<command_outcome> find_earlier_result(
    const replicated_state& state,
    const std::string& key,
    const std::string& fingerprint);

/// Stores the result of a command under its idempotency key, and drops results
/// that are older than the journal window or exceed the maximum count.
void store_result(
    replicated_state& state,
    const std::string& key,
    const std::string& fingerprint,
    const command_outcome& outcome);

command_outcome apply_put(
    replicated_state& state, std::uint64_t index, const put_entry& command);
command_outcome apply_begin(
    replicated_state& state, wall_time proposed, const begin_request& request);
command_outcome apply_finish(
    replicated_state& state, wall_time proposed, const finish_request& request);
command_outcome apply_release(
    replicated_state& state,
    wall_time proposed,
    const release_request& request);
command_outcome
apply_owner_lost(replicated_state& state, const mark_owner_lost& request);
/// Handles journal records older than the window: requests in flight become
/// unknown, all other records are erased.
void expire_records(replicated_state& state);
/// Rebuilds the indexes and totals after a restore from a snapshot.
void rebuild_indexes(journal& requests);

/// `number` is the command's position in its batch; it makes the move's id
/// unique.
command_outcome apply_start_move(
    replicated_state& state,
    std::uint64_t index,
    std::size_t number,
    wall_time proposed,
    const start_move& command);
command_outcome apply_advance_move(
    replicated_state& state, std::uint64_t index, const advance_move& command);
command_outcome apply_quarantine(
    replicated_state& state,
    std::uint64_t index,
    const quarantine_fingerprint& command);

/// How entries split a service's requests over versions in the current phase
/// of `move`. Empty if there is no split.
std::vector<version_share> split_of(const version_move& move);

/// The outcome of a command that was refused and changed nothing.
command_outcome refused_outcome(
    const replicated_state& state, error_kind kind, std::string detail);

} // namespace bergamotusher::state
