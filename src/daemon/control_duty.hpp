// Runs the consensus replica on its own thread. Writes go to the storage duty,
// messages go through the peers duty. Proposals of other duties are appended
// here or forwarded to the leader.
//
// Set-up, before the start:
//   1. `make_peers_duty`, then `make_control` with that peers duty; it
//   registers
//      the kinds `consensus`, `proposal` and `proposal_reply`.
//   2. One `make_proposer` for each duty that proposes. Its `notify` function
//      runs on the control thread and should only push into that duty's
//      mailbox.
//   3. `start` the control duty, then the peers duty.
// At shutdown `stop` the peers duty, then the control duty. The state machine's
// functions run on the control thread, except for the `restore` in `start`,
// which runs on the caller's thread before the control thread starts.
#pragma once

#include "base/step_times.hpp"
#include "consensus/file_functions.hpp"
#include "consensus/replica.hpp"
#include "consensus/snapshot_policy.hpp"
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

/// The replicated state machine. `apply` must be deterministic: all replicas
/// must reach the same state.
struct state_machine
{
    /// Applies the command at `index`; returns its encoded result.
    std::function<std::string(std::uint64_t index, const std::string& command)>
        apply;
    /// Encodes the whole state.
    std::function<std::string()> snapshot;
    /// Replaces the state; `index` is the last entry that it includes. Called
    /// at each start; index 0 with no bytes is the empty state.
    std::function<void(std::uint64_t index, const std::string& bytes)> restore;
    /// Called with true once this node holds the leader lease and may give
    /// orders, with false when it no longer may. The lease may end before this
    /// is called: check `order_fence` right before each order.
    std::function<void(bool leads, std::uint64_t term)> on_leadership;
};

/// Settings of the control duty.
struct control_options
{
    node_id self;
    /// All control nodes including this one; the same list at each of them. If
    /// membership changes at run time: the nodes that a new member contacts.
    std::vector<peer_address> nodes;
    /// May form a new cluster; false if one exists already.
    bool may_bootstrap_cluster = true;
    std::string data_dir;
    std::string cluster = "bergamotusher";
    consensus::timing timing;
    consensus::limits limits;
    /// Seed of the election timeouts; 0 draws one at random.
    std::uint64_t seed = 0;
    consensus::snapshot_policy snapshots;
    /// Time after a confirmation for which an entry may accept new requests
    /// under the configuration.
    duration configuration_lease = 3s;
    /// Interval of requests for a confirmation.
    duration confirmation_interval = 1s;
    /// Limit on proposals that wait for a leader plus forwarded proposals that
    /// are not answered yet; further ones are answered `not_committed`.
    std::size_t max_waiting_proposals = 4096;
    /// Renames the files of a damaged data folder and rejoins the cluster with
    /// an empty one. If false, `start` fails.
    bool rejoin_if_damaged = true;
    consensus::file_functions files = consensus::system_files();
    /// Records events such as role changes; called on the control thread.
    std::function<void(
        event_kind kind, std::uint64_t number, const std::string& detail)>
        record;
    /// Called once, on the control thread, if storage fails; the replica has
    /// halted by then. Must not call `stop`, which joins that thread.
    std::function<void(const failure&)> on_failure;
    /// Called on the control thread after a step that took long.
    std::function<void(const long_step&)> on_long_step;
};

/// Fencing token of an order: an engine refuses an order whose fence is older
/// than one that it has seen.
struct fence
{
    std::uint64_t term = 0;
    std::uint64_t index = 0;

    bool operator==(const fence&) const = default;
};

/// True if an engine that has seen `b` refuses an order with `a`.
constexpr bool is_older(const fence& a, const fence& b)
{
    return a.term != b.term ? a.term < b.term : a.index < b.index;
}

/// State and counters of a control duty.
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
    /// End of this node's leader lease; in the past if it holds none.
    time_point lease_until;
    std::optional<failure> failed;
    /// Duration of opening and reading the data folder.
    duration open_duration{};
    /// Entries and bytes of the log above the snapshot when the folder was
    /// opened.
    std::uint64_t opened_entries = 0;
    std::uint64_t opened_bytes = 0;
    /// Entries and bytes of the log held in memory.
    std::uint64_t log_entries = 0;
    std::uint64_t log_bytes = 0;

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
    /// Messages from peers that were dropped because the queue was full or that
    /// could not be decoded.
    std::uint64_t dropped_messages = 0;
    /// Rounds of queries for a confirmation that were given up without one.
    std::uint64_t abandoned_confirmations = 0;
};

struct control_duty;
struct proposer;

/// Stops a duty, then deletes it.
struct control_deleter
{
    void operator()(control_duty* duty) const;
};
using control_handle = std::unique_ptr<control_duty, control_deleter>;

/// `peers` must outlive the duty and must not have been started.
control_handle
make_control(control_options options, state_machine machine, peers_duty& peers);

/// Adds a queue of `capacity` proposals from one thread to the duty. Each
/// accepted proposal is answered through `notify` exactly once; `notify` also
/// gets every renewal of the configuration lease.
proposer& make_proposer(
    control_duty& duty,
    std::size_t capacity,
    std::function<void(control_message&&)> notify);

/// Opens the data folder, restores the state machine and starts the threads.
/// Errors: as `consensus::open_storage`.
std::optional<failure> start(control_duty& duty);

/// Answers all pending proposals and ends the threads. Proposals still in a
/// queue are answered only if the duty is started again, as may be done after
/// a storage failure.
void stop(control_duty& duty);

/// Transfers leadership and has this node replaced as a voter before its
/// instance ends. Proposals that it has accepted are answered as usual. May be
/// called from any thread; `has_left` tells when this is done.
void leave(control_duty& duty);

/// Replaces `control_options::nodes`. May be called from any thread.
void configure_nodes(control_duty& duty, std::vector<peer_address> nodes);

/// True if this node is neither the leader nor a voter, so that it can stop
/// without effect on the quorum.
bool has_left(const control_duty& duty);

/// Enqueues a proposal; if the queue is full, returns false and the proposal is
/// not answered.
bool propose(proposer& proposer, proposal&& value);

/// May be called from any thread.
control_status status_of(const control_duty& duty);

/// Step times of the control thread. May be called from any thread.
const step_times& steps_of(const control_duty& duty);

/// The fence to send with an order; empty if this node may not give orders at
/// `now`. May be called from any thread; call it right before each order.
std::optional<fence> order_fence(const control_duty& duty, time_point now);

} // namespace bergamotusher
