// One replica of the control state: a pure state machine that is given inputs
// with the present time and returns actions.
//
// It elects (pre-vote, check-quorum), replicates, changes membership one voter
// at a time, and holds a leader lease. It reads no clock, draws nothing and
// does no input or output. Nothing is acknowledged before storage has reported
// it as synced.
#pragma once

#include "consensus/log.hpp"
#include "consensus/membership.hpp"
#include "consensus/types.hpp"

#include <bergamotusher/error_kind.hpp>

#include <map>
#include <optional>
#include <set>
#include <variant>
#include <vector>

namespace bergamotusher::consensus
{

/// The times by which a replica acts.
struct timing
{
    duration heartbeat = 250ms;
    /// A voter that heard from a leader gives no vote for so long.
    duration election_min = 1000ms;
    /// Election timeouts are drawn between the two.
    duration election_max = 2000ms;
    /// From the sending of a round that a quorum answered.
    duration lease = 800ms;
    /// How much faster or slower than another a clock may run, as a ratio.
    double clock_drift = 0.05;
    /// A voter silent for so long counts as lost and is replaced.
    duration voter_lost_after = 3000ms;
    /// A member silent for so long no longer counts towards the voters wanted
    /// where every member votes; longer than any restart of an instance.
    duration member_forgotten_after = 15000ms;
};

/// Bounds on what a replica holds and sends.
struct limits
{
    std::size_t append_bytes = std::size_t{256} * 1024;
    std::size_t chunk_bytes = std::size_t{64} * 1024;
    /// Append requests with entries in flight to one follower.
    std::size_t in_flight = 8;
    /// Uncommitted entries beyond which proposals are refused.
    std::size_t uncommitted = 4096;
    /// Entries kept below a snapshot for followers that are a little behind.
    std::size_t kept_entries = 256;
    /// A learner so many entries behind the commit index is caught up.
    std::size_t caught_up_lag = 64;
    std::size_t wanted_voters = 3;
    /// Every member that is heard from is to vote; `wanted_voters` then names
    /// the first membership only.
    bool every_member_votes = false;
};

/// What a replica is made of.
struct replica_options
{
    node_id self;
    /// All nodes that the settings name, this one too.
    std::vector<candidate_member> nodes;
    /// False where a cluster exists already: an empty folder then joins it and
    /// never founds another.
    bool may_found = true;
    /// Names the data folder; drawn when the folder was made, never 0.
    std::uint64_t storage_id = 1;
    /// Seeds the election timeouts.
    std::uint64_t seed = 1;
    consensus::timing timing;
    consensus::limits limits;
};

/// What the leader knows of another member.
struct progress
{
    log_index next = 1;
    log_index match = 0;
    /// When the newest answered round was sent.
    time_point acked_at;
    time_point heard_at;
    time_point sent_at;
    std::size_t in_flight = 0;
    /// Id of its new data folder while it is not admitted, else 0.
    std::uint64_t unadmitted = 0;
    /// Its instance is about to go.
    bool leaving = false;
    /// It answered in this term.
    bool answered = false;
    /// The snapshot it is sent, and how far; null means none.
    std::shared_ptr<const snapshot> sending;
    std::uint64_t offset = 0;
};

/// A sync that storage has not reported yet.
struct outstanding_sync
{
    /// The last index that it covers.
    log_index last = 0;
    time_point since;
};

/// A message that waits for the sync `token`.
struct held_message
{
    std::uint64_t token = 0;
    node_id to;
    message content;
};

/// A read that waits for a quorum to answer a round sent at `asked_at`.
struct pending_read
{
    std::uint64_t token = 0;
    log_index index = 0;
    time_point asked_at;
};

/// The whole state. Only the functions of this folder change it.
struct replica
{
    replica_options options;
    hard_state hard;
    consensus::role role = consensus::role::follower;
    node_id leader;
    consensus::log log;
    std::shared_ptr<const snapshot> base;
    /// Memberships in the log, each with its index; the last is in force.
    std::vector<std::pair<log_index, membership>> memberships;
    log_index commit = 0;
    log_index applied = 0;

    /// This node's instance is about to go.
    bool leaving = false;

    // Storage.
    std::uint64_t next_token = 1;
    std::uint64_t synced_token = 0;
    /// Everything up to here is synced.
    log_index synced = 0;
    /// Entries up to here were handed to storage.
    log_index persisted = 0;
    /// `hard` differs from what was handed to storage.
    bool hard_changed = false;
    std::map<std::uint64_t, outstanding_sync> outstanding;
    std::vector<held_message> held;
    /// A received or taken snapshot that is being synced.
    std::shared_ptr<const snapshot> installing;
    std::uint64_t installing_token = 0;
    node_id installing_from;
    std::int64_t installing_sent_at_us = 0;
    std::shared_ptr<const snapshot> taking;
    std::uint64_t taking_token = 0;

    // Elections.
    std::uint64_t draws = 0;
    time_point heard_at;
    time_point election_at;
    std::set<node_id> votes;
    std::uint64_t vote_token = 0;

    // A snapshot that arrives in chunks.
    log_index receiving_index = 0;
    term_number receiving_term = 0;
    std::string receiving;

    // Joining with a new data folder.
    std::set<node_id> empty_peers;
    time_point joined_query_at;

    // Leadership.
    std::map<node_id, progress> followers;
    time_point elected_at;
    log_index term_start = 0;
    time_point heartbeat_at;
    std::vector<pending_read> reads;
    /// Nodes with new folders that are no members yet.
    std::set<node_id> applicants;
};

// Inputs.

/// Time passed; does what is due.
struct tick
{
};

struct received
{
    node_id from;
    message content;
};

/// Commands to append, in order.
struct propose
{
    std::vector<std::string> commands;
};

/// A membership to append; must be a single change.
struct change_members
{
    membership members;
};

/// This node's instance is about to go: it hands over if it leads, and has
/// itself replaced as a voter while it still works.
struct leave
{
};

/// Everything persisted up to `token` is on the disk.
struct storage_synced
{
    std::uint64_t token = 0;
};

/// A write or sync failed: the replica halts.
struct storage_broken
{
};

/// The state machine's state right after `index` was applied.
struct snapshot_taken
{
    log_index index = 0;
    std::shared_ptr<const std::string> data;
};

/// Asks for the index that a linearizable read must wait for.
struct read_index
{
    std::uint64_t token = 0;
};

using input = std::variant<
    tick,
    received,
    propose,
    change_members,
    leave,
    storage_synced,
    storage_broken,
    snapshot_taken,
    read_index>;

// Actions.

struct send
{
    node_id to;
    message content;
};

/// Write, sync, then answer `storage_synced`. An entry replaces what is stored
/// at its index and above.
struct persist
{
    std::uint64_t token = 0;
    hard_state hard;
    std::vector<entry> entries;
};

/// Replace the stored snapshot, sync, then answer `storage_synced`.
struct persist_snapshot
{
    std::uint64_t token = 0;
    std::shared_ptr<const snapshot> value;
    /// Entries up to here may be forgotten; those above stay, unless
    /// `reset` says that the log conflicts with the snapshot.
    log_index keep_after = 0;
    bool reset = false;
};

/// Apply the committed entry to the state machine.
struct apply
{
    entry value;
};

/// Put the snapshot in the state machine's place.
struct restore
{
    std::shared_ptr<const snapshot> value;
};

struct role_changed
{
    consensus::role role = consensus::role::follower;
    term_number term = 0;
    node_id leader;
};

/// The commands of one `propose` have indexes from `first` on.
struct proposed
{
    log_index first = 0;
    std::size_t count = 0;
    term_number term = 0;
};

/// Nothing of the input was or will be appended.
struct refused
{
    error_kind kind = error_kind::not_leader;
};

/// The read may go on once `index` is applied.
struct read_ready
{
    std::uint64_t token = 0;
    log_index index = 0;
};

/// The read cannot be answered here.
struct read_failed
{
    std::uint64_t token = 0;
};

/// A freshness answer came.
struct freshness
{
    node_id from;
    freshness_answer answer;
};

using action = std::variant<
    send,
    persist,
    persist_snapshot,
    apply,
    restore,
    role_changed,
    proposed,
    refused,
    read_ready,
    read_failed,
    freshness>;

using actions = std::vector<action>;

/// A replica that goes on from what was stored. The caller restores the state
/// machine from `recovered.base` first.
replica make_replica(
    replica_options options, recovered_state recovered, time_point now);

/// Takes one input; `now` never goes back.
actions step(replica& replica, const input& input, time_point now);

/// When the next `tick` is due.
time_point next_tick(const replica& replica);

/// The membership in force.
const membership& members_of(const replica& replica);

/// True if the newest membership in the log is committed.
bool members_committed(const replica& replica);

/// Until when no other replica can lead; the past if this one does not.
time_point lease_until(const replica& replica);

/// Whether a leader may give orders that only one leader may give: its lease
/// holds by its own clock, any older lease is out with allowance for drift,
/// and it has applied everything that earlier leaders committed.
bool may_order(const replica& replica, time_point now);

/// Whether a leader appends what is proposed; one that hands over does not.
bool takes_proposals(const replica& replica, time_point now);

/// The commit index, if this replica leads with a valid lease and knows what
/// earlier leaders committed.
std::optional<log_index> lease_read(const replica& replica, time_point now);

/// What the leader knows of each member, itself first.
std::vector<member_health> health_of(const replica& replica, time_point now);

} // namespace bergamotusher::consensus
