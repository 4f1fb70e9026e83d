// Functions shared by the source files of the replica; internal to this folder.
#pragma once

#include "consensus/replica.hpp"

namespace bergamotusher::consensus
{

// Output (replica.cpp).

/// Sends at once. For messages that do not depend on unsynced state.
void send_now(actions& out, const node_id& to, message content);
/// Sends once all state changed so far, including changes that are not yet
/// handed to storage, is synced.
void send_after_sync(
    replica& replica, actions& out, const node_id& to, message content);
/// The token of the sync that covers all state changed so far.
std::uint64_t covering_sync_token(const replica& replica);
/// Hands a changed hard state and new entries to storage; does nothing if there
/// are none.
void persist_changes(replica& replica, actions& out, time_point now);
/// Emits `role_changed` with the present role, term and leader.
void announce_role(const replica& replica, actions& out);

/// Records that `from` replied in `term` to a message sent at `sent_at_us`
/// (leader.cpp). Returns its progress, or null if this replica does not lead
/// `term` or `from` is no member. Steps down if `term` is higher than its own.
progress* record_reply(
    replica& replica,
    actions& out,
    const node_id& from,
    term_number term,
    std::int64_t sent_at_us,
    time_point now);

// Elections (election.cpp).

/// Becomes a follower of `leader`, which is empty if unknown, in `term`. Fails
/// pending reads and, if `term` is new, clears the vote.
void become_follower(
    replica& replica,
    actions& out,
    term_number term,
    const node_id& leader,
    time_point now);
/// Records that the leader, if one was followed, is no longer heard from.
void forget_leader(replica& replica);
/// Draws a new election timeout, starting at `now`.
void reset_election_timer(replica& replica, time_point now);
/// Asks the voters whether they would vote for this replica, without raising
/// the term; with a quorum the election follows.
void start_pre_vote(replica& replica, actions& out, time_point now);
/// True if the replica is an admitted voter, installs no snapshot and its
/// storage keeps up.
bool may_campaign(const replica& replica, time_point now);
void handle(
    replica&, actions&, const node_id& from, const campaign_now&, time_point);
/// Counts the candidate's vote for itself once that vote is synced.
void count_own_vote(replica& replica, actions& out, time_point now);
void handle(
    replica&, actions&, const node_id& from, const vote_request&, time_point);
void handle(
    replica&, actions&, const node_id& from, const vote_reply&, time_point);

// Joining (joining.cpp).

/// While this replica is not admitted: sends join queries at most once per
/// heartbeat interval, and founds the cluster if the conditions hold.
void join_if_due(replica& replica, actions& out, time_point now);
/// Sends a join query to every node that may be a member.
void send_join_queries(const replica& replica, actions& out);
/// Marks the replica as admitted: from now on it may vote and counts for
/// quorums.
void admit(replica& replica, actions& out, time_point now);
void handle(
    replica&, actions&, const node_id& from, const join_query&, time_point);
void handle(
    replica&, actions&, const node_id& from, const join_answer&, time_point);

// Replication (follower.cpp, leader.cpp).

/// True if `peer` has not replied for two heartbeat intervals.
bool is_silent(const replica& replica, const progress& peer, time_point now);
/// True if `id` is admitted, so that its acknowledgements count for quorums.
bool counts_for_quorum(const replica& replica, const node_id& id);
/// Appends `entry` to the leader's log with the next index and own term.
void append_as_leader(replica& replica, entry entry);
/// Puts the membership in force if `entry` holds one.
void record_membership(replica& replica, const entry& entry);
/// Emits `apply` for entries that are committed and synced here, up to the
/// limits on one step.
void apply_committed(replica& replica, actions& out);
/// Advances the commit index to the highest index that a quorum holds, if that
/// entry is of the own term. A leader that its own committed change removed as
/// a voter steps down.
void advance_commit(replica& replica, actions& out, time_point now);
/// Becomes leader and appends the first entry of the term.
void become_leader(replica& replica, actions& out, time_point now);
/// Makes `followers` hold the progress of exactly the other members.
void update_followers(replica& replica, time_point now);
/// Sends new entries to each responsive follower, within its in-flight limit.
void replicate(replica& replica, actions& out, time_point now);
/// Sends one append request, or a snapshot chunk if the log no longer holds the
/// next entry. Carries entries only if the follower is responsive.
void send_append(
    replica& replica, actions& out, const node_id& to, time_point now);
/// Sends every follower an append request, and probes those that are silent.
void heartbeat(replica& replica, actions& out, time_point now);
/// Steps down in favour of a live voter that holds the whole log, if there is
/// one.
void transfer_leadership(replica& replica, actions& out, time_point now);
/// Appends at most one membership change: adds a node that asked to join,
/// promotes or demotes towards the target number of live voters, or removes a
/// learner that the settings no longer name.
void repair_members(replica& replica, actions& out, time_point now);
/// Appends a membership. False if this replica does not lead, has not committed
/// in its term, or the last change is not committed, or if more than one voter
/// changes.
bool append_membership(
    replica& replica, actions& out, const membership&, time_point now);
void handle(
    replica&, actions&, const node_id& from, const append_request&, time_point);
void handle(
    replica&, actions&, const node_id& from, const append_reply&, time_point);

// Snapshots (snapshots.cpp).

/// Hands a snapshot that the state machine took to storage; ignores it if it is
/// outdated or another one is being stored.
void persist_taken_snapshot(
    replica& replica,
    actions& out,
    const snapshot_taken& taken,
    time_point now);
/// Compacts the log after a local snapshot is synced, and restores the state
/// machine after a received one is.
void complete_synced_snapshots(replica& replica, actions& out, time_point now);
/// Sends the next chunk of the snapshot, and starts with the newest snapshot if
/// none is being sent.
void send_snapshot_chunk(
    replica& replica, actions& out, const node_id& to, time_point now);
void handle(
    replica&, actions&, const node_id& from, const snapshot_chunk&, time_point);
void handle(
    replica&, actions&, const node_id& from, const snapshot_reply&, time_point);

// Reads (lease.cpp).

/// Answers a read by lease, or queues it until a quorum answers a heartbeat
/// round that is sent now. Fails it if this replica does not lead.
void start_read(
    replica& replica, actions& out, const read_index&, time_point now);
/// Answers queued reads that a quorum confirmed by replying to a later round.
void complete_acked_reads(replica& replica, actions& out);
/// Fails all queued reads.
void fail_reads(replica& replica, actions& out);
/// The send time of the newest round that a quorum answered; the maximum if the
/// leader alone is a quorum, the minimum if no quorum is admitted.
time_point quorum_acked_at(const replica& replica);
void handle(
    replica&,
    actions&,
    const node_id& from,
    const freshness_query&,
    time_point);
void handle(
    replica&,
    actions&,
    const node_id& from,
    const freshness_answer&,
    time_point);

} // namespace bergamotusher::consensus
