// Turns the journal actions of the request life cycle into consensus proposals,
// and the answers to these into inputs of the life cycle. Used only on the
// serving duty's thread.
#pragma once

#include <bergamotusher/control.hpp>
#include <bergamotusher/serving.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace bergamotusher
{

/// A journal command that has been proposed and not answered.
struct pending_command
{
    /// Set for a begin; empty for a finish or a release.
    request_id request;
    attempt_id attempt;
    /// Encoded command. Kept because a finish or a release is proposed again
    /// until it is committed.
    std::string command;
    event_kind committed_event = event_kind::journal_begun;
};

/// Journal commands that are not committed yet.
struct journal_client
{
    node_id node;
    std::uint64_t incarnation = 0;
    std::uint64_t next_ticket = 1;
    std::map<std::uint64_t, pending_command> awaiting_answer;
    /// Finishes and releases to propose again, keyed by the time of the retry.
    std::multimap<time_point, pending_command> retry_queue;
};

/// Result of an answer: an input for the life cycle and an event for the time
/// line, each if there is one.
struct journal_update
{
    std::optional<journal_answered> input;
    std::optional<event> event_to_record;
};

/// Create the proposal for an action, and remember it until it is answered.
proposal propose(
    journal_client& port,
    const journal_begin& action,
    wall_time wall,
    time_point now);
proposal propose(
    journal_client& port,
    const journal_finish& action,
    wall_time wall,
    time_point now);
proposal propose(
    journal_client& port,
    const journal_release& action,
    wall_time wall,
    time_point now);

/// Creates the proposal that marks the requests that earlier runs of this
/// process had in flight as having an unknown outcome. It is proposed again
/// until it is committed.
proposal
propose_lose_earlier_runs(journal_client& port, wall_time wall, time_point now);

/// Processes the answer to a proposal. Ignores tickets that are not pending
/// here. A finish or a release that was not committed is scheduled for a retry.
journal_update handle_answer(
    journal_client& port, const proposal_answer& answer, time_point now);

/// Returns whether no command is pending or scheduled for a retry.
bool is_idle(const journal_client& port);

/// Returns the proposals whose retry is due at `now`.
std::vector<proposal> due_retries(journal_client& port, time_point now);

} // namespace bergamotusher
