// Runs the consensus core on a thread of its own, with the storage duty under
// it and the peers duty beside it, and takes proposals of other duties to the
// leader.
//
// Wiring, before the start:
//   1. `make_peers`, then `make_control` with that peers duty; it registers
//      the kinds `consensus`, `proposal` and `proposal_reply`.
//   2. One `make_proposer` for each duty that proposes. Its `news` function
//      runs on the control thread: push into that duty's mailbox.
//   3. `start` the control duty, then the peers duty.
// At the end `stop` the peers duty, then the control duty.
// The state machine's functions run on the control thread only.
#pragma once

#include "consensus/file_functions.hpp"
#include "consensus/replica.hpp"
#include "daemon/peers_duty.hpp"

#include <bergamotusher/control.hpp>
#include <bergamotusher/event.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace bergamotusher
{

/// The replicated state machine. All replicas must compute the same.
struct state_machine
{
    /// Applies the command at `index`; returns its encoded result.
    std::function<std::string(std::uint64_t index, const std::string& command)>
        apply;
    /// The whole state, encoded.
    std::function<std::string()> snapshot;
    /// Replaces the state; `index` is the last entry in it. Called at each
    /// start: index 0 and no bytes stand for the empty state.
    std::function<void(std::uint64_t index, const std::string& bytes)> restore;
    /// True once this node may give orders as the only leader, false when it
    /// no longer may. Check `order_fence` right before each order all the same.
    std::function<void(bool leads, std::uint64_t term)> on_leadership;
};

/// What the duty is made of.
struct control_options
{
    node_id self;
    /// All control nodes, this one too; the same at each of them. Where members
    /// come and go, the nodes that a new member asks.
    std::vector<peer_address> nodes;
    /// False where a cluster exists already.
    bool may_found = true;
    std::string data_dir;
    std::string cluster = "bergamotusher";
    consensus::timing timing;
    consensus::limits limits;
    /// Seeds election timeouts and the id of a new data folder; 0 draws one.
    std::uint64_t seed = 0;
    /// Entries after which a snapshot is taken.
    std::uint64_t snapshot_every = 1000;
    /// How long a confirmation lets an entry take new work.
    duration configuration_lease = 3s;
    /// How often a confirmation is asked for.
    duration confirm_every = 1s;
    /// Proposals that wait for a leader, and answers that are awaited.
    std::size_t waiting_max = 4096;
    /// A damaged folder is set aside and the replica rejoins with an empty one.
    bool rejoin_if_damaged = true;
    consensus::file_functions files = consensus::system_files();
    /// Told of changes of state, on the control thread.
    std::function<void(
        event_kind kind, std::uint64_t number, const std::string& detail)>
        record;
    /// Told once if storage fails; the replica has halted. Runs on the control
    /// thread, which must not stop the duty itself.
    std::function<void(const failure&)> on_failure;
};

/// Names an order: engines refuse one whose fence is older.
struct fence
{
    std::uint64_t term = 0;
    std::uint64_t index = 0;

    bool operator==(const fence&) const = default;
};

/// True if an engine that saw `b` refuses an order with `a`.
constexpr bool is_older(const fence& a, const fence& b)
{
    return a.term != b.term ? a.term < b.term : a.index < b.index;
}

/// What the duty does now.
struct control_status
{
    consensus::role role = consensus::role::follower;
    std::uint64_t term = 0;
    node_id leader;
    std::uint64_t commit = 0;
    std::uint64_t applied = 0;
    std::uint64_t last_index = 0;
    std::uint64_t snapshot_index = 0;
    consensus::membership members;
    bool admitted = false;
    /// Until when this node holds the leader lease; the past if it does not.
    time_point lease_until;
    /// Until when the configuration here may be served by.
    time_point configuration_until;
    std::optional<failure> failed;
    /// The time that opening and reading the data folder took.
    duration opened_in{};

    // Counters.
    std::uint64_t proposals = 0;
    std::uint64_t committed = 0;
    std::uint64_t not_committed = 0;
    std::uint64_t unknown = 0;
    std::uint64_t forwarded = 0;
    std::uint64_t elections = 0;
    std::uint64_t snapshots_taken = 0;
    std::uint64_t snapshots_installed = 0;
    std::uint64_t syncs = 0;
    std::uint64_t stored_bytes = 0;
    /// Messages from peers that the duty was too busy to take, or that could
    /// not be read.
    std::uint64_t dropped_messages = 0;
};

struct control_duty;
struct proposer;

/// Deletes a duty, after it was stopped.
struct control_deleter
{
    void operator()(control_duty* duty) const;
};
using control_handle = std::unique_ptr<control_duty, control_deleter>;

/// `peers` must outlive the duty and must not have been started.
control_handle
make_control(control_options options, state_machine machine, peers_duty& peers);

/// A ring into the duty for one proposing thread. Every proposal is answered
/// through `news` exactly once; the configuration lease is told to each one.
proposer& make_proposer(
    control_duty& duty,
    std::size_t capacity,
    std::function<void(control_news&&)> news);

/// Opens the data folder, restores the state machine and starts the threads.
/// Errors: as `consensus::open_storage`.
std::optional<failure> start(control_duty& duty);

/// Answers what is waiting and ends the threads. Proposals still in a ring are
/// answered only if the duty is started again, which a supervisor may do after
/// a failure of storage.
void stop(control_duty& duty);

/// Hands leadership over and has this node replaced as a voter while it still
/// works: its instance is about to go. What it has taken is answered as usual.
/// May be called from any thread; `has_left` tells when it is done.
void leave(control_duty& duty);

/// True if stopping the node now stops no leader and takes no voter away.
bool has_left(const control_duty& duty);

/// Hands a proposal over; false, and unanswered, if the ring is full.
bool propose(proposer& proposer, proposal&& value);

/// May be called from any thread.
control_status status_of(const control_duty& duty);

/// The fence to send with an order, if this node may give orders at `now`. May
/// be called from any thread; call it right before each order.
std::optional<fence> order_fence(const control_duty& duty, time_point now);

} // namespace bergamotusher
