// One replica of the control state, by the Raft algorithm: a deterministic
// state machine that takes inputs with the present time and returns actions.
//
// It elects leaders (with pre-vote and check-quorum), replicates the log,
// changes the membership one voter at a time, and holds a leader lease. It
// reads no clock, draws its timeouts from a given seed and does no input or
// output. Nothing is acknowledged before storage has reported it as synced.
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

/// Time limits and intervals of a replica.
struct timing
{
    duration heartbeat = 250ms;
    /// Least election timeout. A voter that heard from a leader rejects votes
    /// for this time.
    duration election_min = 1000ms;
    /// Greatest election timeout; each is drawn between the two. Also the time
    /// after which a leader without a quorum or with a stuck storage steps
    /// down.
    duration election_max = 2000ms;
    /// Validity of the leader lease, from the time at which a round was sent
    /// that a quorum answered.
    duration lease = 800ms;
    /// Greatest relative deviation of a clock rate: 0.05 is 5 % fast or slow.
    double clock_drift = 0.05;
    /// A voter silent for this time counts as lost and is replaced.
    duration voter_lost_after = 3000ms;
    /// Where every member votes, a voter silent for this time gives up its seat
    /// even if no successor has joined; longer than any restart of an instance.
    duration member_excluded_after = 15000ms;
};

/// Limits on the state and messages of a replica.
struct limits
{
    std::size_t append_bytes = std::size_t{256} * 1024;
    std::size_t chunk_bytes = std::size_t{256} * 1024;
    /// Most append requests with entries in flight to one follower.
    std::size_t in_flight = 8;
    /// Proposals that would exceed this number of uncommitted entries are
    /// refused.
    std::size_t uncommitted = 4096;
    /// Proposals that would exceed this number of bytes of entries that are not
    /// applied here are refused, unless all are applied.
    std::size_t unapplied_bytes = std::size_t{8} * 1024 * 1024;
    /// Entries kept below a snapshot, so that followers slightly behind need no
    /// snapshot; of large entries fewer, as many as fit `kept_bytes`.
    std::size_t kept_entries = 256;
    std::size_t kept_bytes = std::size_t{1024} * 1024;
    /// Bytes kept at most of what a live follower lacks, or will lack once it
    /// has the snapshot that it is being sent: while large entries come
    /// quickly, it would need one snapshot after the other.
    std::size_t kept_bytes_for_followers = std::size_t{8} * 1024 * 1024;
    /// Entries and bytes that one step applies, at least one entry: between
    /// steps the replica answers messages and sends heartbeats.
    std::size_t apply_entries = 16;
    std::size_t apply_bytes = std::size_t{256} * 1024;
    /// A learner at most this many entries behind the commit index is caught up
    /// and can be promoted.
    std::size_t caught_up_lag = 64;
    std::size_t wanted_voters = 3;
    /// Every member that is heard from becomes a voter; `wanted_voters` is then
    /// the size of the first set of voters and the least number aimed for.
    /// Membership may then change at run time beyond the configured nodes.
    bool every_member_votes = false;
};

/// Configuration of a replica.
struct replica_options
{
    node_id self;
    /// All nodes that the settings name, including this one.
    std::vector<configured_node> nodes;
    /// False where a cluster already exists: a replica with an empty folder
    /// then only joins it and never founds another.
    bool may_bootstrap_cluster = true;
    /// Random id of the data folder, drawn when it was created; not 0.
    std::uint64_t storage_id = 1;
    /// Seed of the random election timeouts.
    std::uint64_t seed = 1;
    consensus::timing timing;
    consensus::limits limits;
};

/// Replication state of another member, at the leader.
struct progress
{
    /// Index of the next entry to send.
    log_index next = 1;
    /// Highest index known to match the leader's log.
    log_index match = 0;
    /// Send time of the newest message that it answered.
    time_point acked_at;
    /// When it last replied; before its first reply, since when it has been
    /// silent as far as this leader knows.
    time_point heard_at;
    /// When this leader first knew it as a member.
    time_point known_since;
    time_point sent_at;
    std::size_t in_flight = 0;
    /// Storage id of its new data folder while it is not admitted, else 0.
    std::uint64_t unadmitted_storage_id = 0;
    /// Its instance is about to leave.
    bool leaving = false;
    /// It has replied since it became a follower or was last found silent; only
    /// then is it sent entries.
    bool responsive = false;
    /// The snapshot being sent and the offset of the next chunk; null if none.
    std::shared_ptr<const snapshot> sending_snapshot;
    std::uint64_t snapshot_offset = 0;
};

/// A sync that storage has not yet reported.
struct outstanding_sync
{
    /// The last log index that it covers.
    log_index last = 0;
    time_point since;
};

/// A message that is sent once the sync `token` is reported.
struct deferred_message
{
    std::uint64_t token = 0;
    node_id to;
    message content;
};

/// A read that waits until a quorum has answered a round sent at `requested_at`
/// or later.
struct pending_read
{
    std::uint64_t token = 0;
    log_index index = 0;
    time_point requested_at;
};

/// The complete state of a replica. Only the functions of this folder change
/// it.
struct replica
{
    replica_options options;
    hard_state hard;
    consensus::role role = consensus::role::follower;
    node_id leader;
    consensus::log log;
    /// The newest snapshot that is synced; null if none.
    std::shared_ptr<const snapshot> base;
    /// Memberships in the log, each with its index; the last one is in force.
    std::vector<std::pair<log_index, membership>> memberships;
    log_index commit = 0;
    log_index applied = 0;

    /// The instance of this node is about to leave.
    bool leaving = false;

    // Storage.
    std::uint64_t next_token = 1;
    std::uint64_t synced_token = 0;
    /// Entries up to this index are synced.
    log_index synced_index = 0;
    /// Entries up to this index were handed to storage.
    log_index persisted_index = 0;
    /// `hard` differs from the state last handed to storage.
    bool hard_changed = false;
    std::map<std::uint64_t, outstanding_sync> outstanding_syncs;
    std::vector<deferred_message> deferred_messages;
    /// The received snapshot that is being synced, the token of its sync, the
    /// sender, and the send time of its last chunk; null if none.
    std::shared_ptr<const snapshot> installing_snapshot;
    std::uint64_t installing_token = 0;
    node_id installing_from;
    std::int64_t installing_sent_at_us = 0;
    /// The local snapshot that is being synced, and its token; null if none.
    std::shared_ptr<const snapshot> pending_snapshot;
    std::uint64_t taking_token = 0;

    // Elections.
    std::uint64_t random_state = 0;
    time_point leader_heard_at;
    time_point election_at;
    std::set<node_id> votes_granted;
    std::uint64_t vote_sync_token = 0;

    // A snapshot that is being received in chunks.
    log_index receiving_index = 0;
    term_number receiving_term = 0;
    std::string received_data;

    // Joining with a new data folder.
    /// Nodes that reported an empty data folder.
    std::set<node_id> empty_peers;
    /// Members named by nodes that answered a join query, since a leader was
    /// last heard from.
    std::set<node_id> introduced_members;
    time_point join_query_sent_at;

    /// While this replica does not lead: since when members have been silent,
    /// by the report of the last leader, or since the start.
    std::map<node_id, time_point> silent_since;

    // Leadership.
    std::map<node_id, progress> followers;
    time_point elected_at;
    log_index term_start = 0;
    time_point heartbeat_at;
    /// As of the last heartbeat.
    std::vector<silent_voter> silent_voters;
    std::vector<pending_read> reads;
    /// Nodes that sent a join query and are not yet members.
    std::set<node_id> pending_joiners;
};

// Inputs.

/// Time has passed: starts an election or sends heartbeats if due.
struct tick
{
};

/// Each step applies a part of the entries that are committed and synced; this
/// one does nothing else. Given as long as `has_unapplied` holds.
struct apply_more
{
};

struct received
{
    node_id from;
    message content;
};

/// Commands to append, in this order.
struct propose
{
    std::vector<std::string> commands;
};

/// A membership to append; may change only one voter.
struct change_members
{
    membership members;
};

/// The settings name other nodes than before.
struct configure_nodes
{
    std::vector<configured_node> nodes;
};

/// The instance of this node is about to leave: if it leads, it transfers
/// leadership; it is replaced as a voter while it still works.
struct prepare_to_leave
{
};

/// Everything handed to storage up to `token` is synced.
struct storage_synced
{
    std::uint64_t token = 0;
};

/// A write or sync failed: the replica halts.
struct storage_broken
{
};

/// A snapshot of the state machine, taken right after `index` was applied.
struct snapshot_taken
{
    log_index index = 0;
    std::shared_ptr<const std::string> data;
};

/// Asks for the index that must be applied before a linearizable read.
struct read_index
{
    std::uint64_t token = 0;
};

using input = std::variant<
    tick,
    apply_more,
    received,
    propose,
    change_members,
    configure_nodes,
    prepare_to_leave,
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

/// Write and sync, then give the input `storage_synced`. An entry replaces all
/// stored entries from its index on.
struct persist
{
    std::uint64_t token = 0;
    hard_state hard;
    std::vector<entry> entries;
};

/// Replace the stored snapshot and sync, then give the input `storage_synced`.
struct persist_snapshot
{
    std::uint64_t token = 0;
    std::shared_ptr<const snapshot> value;
    /// Entries up to this index may be removed. Those above stay unless `reset`
    /// is set: the log then conflicts with the snapshot and all of it goes.
    log_index keep_after = 0;
    bool reset = false;
};

/// Apply the committed entry to the state machine.
struct apply
{
    entry value;
};

/// Replace the state of the state machine by the snapshot.
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

/// The `count` commands of one `propose` were appended from index `first` on.
struct proposed
{
    log_index first = 0;
    std::size_t count = 0;
    term_number term = 0;
};

/// The input was refused; nothing of it was or will be appended.
struct refused
{
    error_kind kind = error_kind::not_leader;
};

/// The read may be served once `index` is applied.
struct read_ready
{
    std::uint64_t token = 0;
    log_index index = 0;
};

/// The read cannot be served by this replica.
struct read_failed
{
    std::uint64_t token = 0;
};

/// A freshness answer arrived.
struct freshness_answered
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
    freshness_answered>;

using actions = std::vector<action>;

/// Makes a replica from its recovered state. The caller restores the state
/// machine from `recovered.base` first.
replica make_replica(
    replica_options options, recovered_state recovered, time_point now);

/// Handles one input and returns the actions to perform, in order. `now` must
/// not decrease.
actions step(replica& replica, const input& input, time_point now);

/// True if the last step left committed entries for the next one.
bool has_unapplied(const replica& replica);

/// Bytes of the entries that are not applied.
std::size_t unapplied_bytes(const replica& replica);

/// The time at which the next `tick` is due.
time_point next_tick(const replica& replica);

/// The membership in force.
const membership& members_of(const replica& replica);

/// True if the newest membership in the log is committed.
bool members_committed(const replica& replica);

/// The end of the leader lease, until which no other replica can lead: in the
/// past if this replica holds none, the greatest time if it is the only voter.
time_point lease_until(const replica& replica);

/// True if this leader may take actions that only one leader may take: its
/// lease is valid by its own clock, any lease of an earlier leader has expired
/// even with clock drift, and it has applied everything that earlier leaders
/// committed.
bool may_act_as_sole_leader(const replica& replica, time_point now);

/// True if this replica leads and appends proposals. A leader about to leave
/// does so only while there is no voter to transfer leadership to.
bool accepts_proposals(const replica& replica, time_point now);

/// The commit index, if this replica leads with a valid lease and knows what
/// earlier leaders committed; nothing otherwise.
std::optional<log_index> lease_read(const replica& replica, time_point now);

/// The state of each member as the leader knows it, the leader first.
std::vector<member_health> health_of(const replica& replica, time_point now);

} // namespace bergamotusher::consensus
