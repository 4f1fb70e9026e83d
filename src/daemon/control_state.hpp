// Data and functions shared by the source files of the control duty; private
// to src/daemon.
#pragma once

#include "base/mailbox.hpp"
#include "daemon/control_duty.hpp"
#include "daemon/storage_duty.hpp"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/steady_timer.hpp>

#include <atomic>
#include <deque>
#include <map>
#include <mutex>
#include <set>
#include <thread>

namespace bergamotusher
{

/// Queue of proposals from one duty. `notify` gets the answers and the renewals
/// of the configuration lease, on the control thread.
struct proposer
{
    proposer(
        control_duty& owner,
        std::size_t capacity,
        std::function<void(control_message&&)> notify_function);

    std::function<void(control_message&&)> notify;
    mailbox<proposal> inbox;
};

/// Sender of a proposal, to which the answer goes: a duty of this process if
/// `local` is set, else another node.
struct proposal_sender
{
    proposer* local = nullptr;
    node_id remote;
    std::uint64_t incarnation = 0;
    std::uint64_t ticket = 0;
    time_point deadline;
};

/// A proposal that was neither appended to the log nor forwarded yet.
struct pending_proposal
{
    proposal_sender sender;
    std::string command;
};

/// A proposal that this node, as leader, appended to its log.
struct logged_proposal
{
    proposal_sender sender;
    std::uint64_t term = 0;
};

/// One round of queries about the highest index that may have been committed
/// when the round began.
struct confirmation
{
    std::uint64_t token = 0;
    time_point asked_at;
    /// The last index of each voter that answered.
    std::map<node_id, std::uint64_t> voter_indexes;
    /// Log index of the membership by which the answers are judged.
    consensus::log_index members_index = 0;
    /// No index above it was committed at `asked_at`: once this index is
    /// applied, the configuration lease can be renewed.
    std::optional<std::uint64_t> required_index;
};

/// The nodes that the options name, as the replica takes them.
std::vector<consensus::configured_node>
configured_nodes(const control_options& options);

struct control_duty
{
    control_duty(
        control_options options_used,
        state_machine machine_used,
        peers_duty& peers_used);

    control_options options;
    state_machine machine;
    peers_duty& peers;
    peers_sender& to_peers;
    std::vector<std::unique_ptr<proposer>> proposers;

    boost::asio::io_context loop{1};
    boost::asio::steady_timer timer{loop};
    mailbox<incoming_message> from_peers;
    mailbox<storage_report> from_storage;
    std::unique_ptr<storage_duty> storage;
    /// Number of the current start; tells its storage reports from earlier
    /// ones.
    std::uint64_t generation = 0;
    std::atomic<bool> stopping{false};
    std::thread thread;

    consensus::replica core;
    /// Writes that wait because the storage queue was full.
    std::deque<consensus::storage_write> unsent_writes;
    bool orders_allowed = false;
    /// What was applied since the last snapshot, and the size of that.
    consensus::snapshot_progress since_snapshot;
    /// The step that applies more committed entries is posted.
    bool apply_scheduled = false;

    // Proposals.
    std::deque<pending_proposal> pending;
    bool flush_scheduled = false;
    std::map<std::uint64_t, logged_proposal> logged_proposals;
    /// Proposals sent to the leader, by the ticket that its answer carries.
    std::map<std::uint64_t, proposal_sender> forwarded_proposals;
    std::map<std::uint64_t, std::string> forwarded_commands;
    /// Begins at random, as does `next_confirmation`: a late answer to an
    /// earlier process of this node must not answer one of this process.
    std::uint64_t next_ticket;
    /// Proposals of other nodes that were accepted and not answered yet: node,
    /// incarnation, ticket.
    std::set<std::tuple<node_id, std::uint64_t, std::uint64_t>> accepted_remote;

    // Configuration lease.
    /// Rounds that have not ended, oldest first. They overlap: where a round
    /// takes longer than the interval, each is still completed.
    std::deque<confirmation> confirmations;
    std::uint64_t next_confirmation;
    time_point next_confirmation_at;
    bool leader_answered = false;

    step_times steps;
    mutable std::mutex status_mutex;
    control_status status;
    std::atomic<std::int64_t> order_until_us{0};
    std::atomic<std::uint64_t> order_term{0};
    std::atomic<std::uint64_t> order_index{0};
};

/// A number that no other process of the node has drawn, in all likelihood.
std::uint64_t random_number();
/// The present time on the clock of the process.
time_point steady_now();

/// Passes one input to the consensus core and performs the resulting actions.
void step_core(control_duty& duty, const consensus::input& input);
/// Copies the core's state into the status that other threads read.
void publish_status(control_duty& duty);
/// Ticks the core, expires and flushes proposals, and begins a confirmation, as
/// far as due; arms the timer again.
void on_timer(control_duty& duty);
/// Sets the timer to the next time at which `on_timer` has work.
void arm_timer(control_duty& duty);
void send_to(
    control_duty& duty,
    const node_id& to,
    wire::message_kind kind,
    std::string body);
void record(
    control_duty& duty,
    event_kind kind,
    std::uint64_t number,
    const std::string& detail);

// Proposals (control_proposals.cpp).

/// Accepts a proposal of this process.
void accept_proposal(control_duty& duty, proposer& from, proposal&& value);
/// Accepts a proposal that another node forwarded, unless it is a duplicate.
void accept_forwarded_proposal(
    control_duty& duty, const incoming_message& message);
/// Handles the leader's answer to a proposal that was forwarded to it; one that
/// was not committed is pending again.
void handle_proposal_reply(control_duty& duty, const incoming_message& message);
/// Posts a call of `flush_proposals`, so that it runs after the current handler
/// and covers all proposals that arrived until then.
void schedule_flush(control_duty& duty);
/// Appends the pending proposals if this node leads, else forwards them to the
/// leader; they stay pending while no leader is known.
void flush_proposals(control_duty& duty);
/// Answers the proposal that was logged at the index of an applied entry.
void answer_applied(
    control_duty& duty, const consensus::entry& entry, std::string result);
/// Answers `unknown` to proposals logged up to `index`: a restored snapshot
/// covers these entries, so their results are not known here.
void answer_replaced_by_snapshot(control_duty& duty, std::uint64_t index);
/// Answers the proposals whose deadline has passed.
void expire_proposals(control_duty& duty, time_point now);
time_point next_expiry(const control_duty& duty);
/// Answers all proposals, whatever their deadline: those still pending with
/// `not_committed`, the others with `unknown`.
void answer_all_proposals(control_duty& duty);

// Configuration lease (control_confirmation.cpp).

/// Begins a round of queries if one is due, and gives up rounds that are too
/// old to renew the lease.
void start_confirmation(control_duty& duty, time_point now);
/// Handles a peer's answer to a round that has not ended; others are ignored.
void handle_freshness(
    control_duty& duty,
    const consensus::freshness_answered& answer,
    time_point now);
/// Renews the lease by the newest round whose required index is applied, and
/// ends that round and those before it.
void complete_confirmation(control_duty& duty);

} // namespace bergamotusher
