// What the control duty holds between its parts; private to src/daemon.
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

/// A ring into the control duty, and where its answers go.
struct proposer
{
    proposer(
        control_duty& owner,
        std::size_t capacity,
        std::function<void(control_news&&)> news_to);

    std::function<void(control_news&&)> news;
    mailbox<proposal> inbox;
};

/// Who waits for an answer: a duty of this process, or another node.
struct proposal_origin
{
    proposer* local = nullptr;
    node_id remote;
    std::uint64_t incarnation = 0;
    std::uint64_t ticket = 0;
    time_point deadline;
};

/// A proposal that nothing was done with yet.
struct held_proposal
{
    proposal_origin origin;
    std::string command;
};

/// A proposal in this leader's log.
struct logged_proposal
{
    proposal_origin origin;
    std::uint64_t term = 0;
};

/// One round of asking whether anything newer can be committed.
struct confirmation
{
    std::uint64_t token = 0;
    time_point asked_at;
    /// The last index of each voter that answered.
    std::map<node_id, std::uint64_t> voters;
    /// Nothing above it was committed at `asked_at`.
    std::optional<std::uint64_t> needed;
};

struct control_duty
{
    control_duty(
        control_options chosen, state_machine plugged, peers_duty& peers_used);

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
    /// Counts starts.
    std::uint64_t generation = 0;
    std::atomic<bool> stopping{false};
    std::thread thread;

    consensus::replica core;
    /// Writes that the storage ring had no room for.
    std::deque<consensus::storage_write> unsent_writes;
    bool may_order = false;
    std::uint64_t snapshotted = 0;

    // Proposals.
    std::deque<held_proposal> held;
    bool flush_scheduled = false;
    std::map<std::uint64_t, logged_proposal> logged;
    /// Sent to the leader, by the ticket that the answer will carry.
    std::map<std::uint64_t, proposal_origin> forwarded;
    std::map<std::uint64_t, std::string> forwarded_commands;
    std::uint64_t next_ticket = 1;
    /// Remote proposals that were taken and not answered yet.
    std::set<std::tuple<node_id, std::uint64_t, std::uint64_t>> taken;

    // Configuration lease.
    std::optional<confirmation> asking;
    std::uint64_t next_confirmation = 1;
    time_point confirm_at;
    bool leader_confirmed = false;

    mutable std::mutex status_mutex;
    control_status status;
    std::atomic<std::int64_t> order_until_us{0};
    std::atomic<std::uint64_t> order_term{0};
    std::atomic<std::uint64_t> order_index{0};
};

/// The present time of this process.
time_point steady_now();

/// Gives one input to the core and carries the actions out.
void give(control_duty& duty, const consensus::input& input);
void publish_status(control_duty& duty);
/// Does what is due and arms the timer again.
void on_timer(control_duty& duty);
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

void take_proposal(control_duty& duty, proposer& from, proposal&& value);
void take_forwarded(control_duty& duty, const incoming_message& message);
void take_reply(control_duty& duty, const incoming_message& message);
/// Proposes or forwards what is held, once the current work is done.
void schedule_flush(control_duty& duty);
void flush_proposals(control_duty& duty);
/// Answers the proposal at an applied entry.
void settle(
    control_duty& duty, const consensus::entry& entry, std::string result);
/// Answers those that a restored snapshot passed over.
void settle_up_to(control_duty& duty, std::uint64_t index);
void expire_proposals(control_duty& duty, time_point now);
time_point next_expiry(const control_duty& duty);
void settle_all(control_duty& duty);

// Configuration lease (control_confirmation.cpp).

void ask_confirmation(control_duty& duty, time_point now);
void take_freshness(
    control_duty& duty, const consensus::freshness& answer, time_point now);
/// Renews the lease if everything needed is applied.
void check_confirmation(control_duty& duty);

} // namespace bergamotusher
