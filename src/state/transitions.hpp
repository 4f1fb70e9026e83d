// The parts of `apply`, one for each kind of command.
#pragma once

#include "state/replicated_state.hpp"

#include <functional>
#include <string>

namespace bergamotusher::state
{

/// Publishes a copy of the configuration that `change` altered, with `index`
/// as its revision, and adds a line to the history.
void publish(
    replicated_state& state,
    std::uint64_t index,
    std::string what,
    std::string name,
    const std::function<void(configuration&)>& change);

/// The stored result of an operator's earlier try with `key`; a conflict if
/// that was another command; nothing if there was none.
std::optional<command_outcome> earlier_result(
    const replicated_state& state,
    const std::string& key,
    const std::string& fingerprint);

/// Stores the first result of a try; drops those beyond window and count.
void remember_result(
    replicated_state& state,
    const std::string& key,
    const std::string& fingerprint,
    const command_outcome& outcome);

command_outcome apply_command(
    replicated_state& state, std::uint64_t index, const put_entry& command);
command_outcome begin(
    replicated_state& state, wall_time proposed, const begin_request& request);
command_outcome finish(
    replicated_state& state, wall_time proposed, const finish_request& request);
command_outcome release(
    replicated_state& state,
    wall_time proposed,
    const release_request& request);
command_outcome lose(replicated_state& state, const lose_owner& request);
/// Makes unknown, or forgets, the records older than the window.
void expire_journal(replicated_state& state);
/// Builds the orders by age of records restored from a snapshot.
void index_journal(journal& requests);

/// `number` tells the commands of one batch apart.
command_outcome start(
    replicated_state& state,
    std::uint64_t index,
    std::size_t number,
    wall_time proposed,
    const start_move& command);
command_outcome advance(
    replicated_state& state, std::uint64_t index, const advance_move& command);
command_outcome quarantine(
    replicated_state& state,
    std::uint64_t index,
    const quarantine_fingerprint& command);

/// The split that entries serve by while `move` stands as it does.
std::vector<version_share> split_of(const version_move& move);

/// An outcome that changed nothing.
command_outcome
refused(const replicated_state& state, error_kind kind, std::string detail);

} // namespace bergamotusher::state
