// What the parts of the replica share; not for use outside this folder.
#pragma once

#include "consensus/replica.hpp"

namespace bergamotusher::consensus
{

// Output.

/// Sends at once: for what promises nothing.
void emit(actions& out, const node_id& to, message content);
/// Sends once everything handed to storage so far is synced.
void emit_durable(
    replica& replica, actions& out, const node_id& to, message content);
/// The token of the sync that will cover everything changed so far.
std::uint64_t covering_token(const replica& replica);
/// Hands changed hard state and new entries to storage.
void persist_now(replica& replica, actions& out, time_point now);
void announce_role(const replica& replica, actions& out);

/// Notes an answer of `from`, sent in `term` to a message of `sent_at_us`
/// (leader.cpp). Null if it is not for this replica as the term's leader; a
/// higher term makes it a follower.
progress* note_answer(
    replica& replica,
    actions& out,
    const node_id& from,
    term_number term,
    std::int64_t sent_at_us,
    time_point now);

// Elections (election.cpp).

void become_follower(
    replica& replica,
    actions& out,
    term_number term,
    const node_id& leader,
    time_point now);
void reset_election(replica& replica, time_point now);
void start_pre_vote(replica& replica, actions& out, time_point now);
/// True if the replica may become leader.
bool may_campaign(const replica& replica, time_point now);
void handle(
    replica&, actions&, const node_id& from, const campaign_now&, time_point);
void count_own_vote(replica& replica, actions& out, time_point now);
void handle(
    replica&, actions&, const node_id& from, const vote_request&, time_point);
void handle(
    replica&, actions&, const node_id& from, const vote_reply&, time_point);

// Joining (joining.cpp).

void ask_to_join(replica& replica, actions& out, time_point now);
void admit(replica& replica, actions& out, time_point now);
void handle(
    replica&, actions&, const node_id& from, const join_query&, time_point);
void handle(
    replica&, actions&, const node_id& from, const join_answer&, time_point);

// Replication (follower.cpp, leader.cpp).

bool counts(const replica& replica, const node_id& id);
void append_own(replica& replica, entry entry);
void note_membership(replica& replica, const entry& entry);
void apply_committed(replica& replica, actions& out);
void advance_commit(replica& replica, actions& out, time_point now);
void become_leader(replica& replica, actions& out, time_point now);
void track_members(replica& replica, time_point now);
void replicate(replica& replica, actions& out, time_point now);
void send_append(
    replica& replica, actions& out, const node_id& to, time_point now);
void heartbeat(replica& replica, actions& out, time_point now);
/// Steps down in favour of a voter that has the whole log, if there is one.
void hand_over(replica& replica, actions& out, time_point now);
void repair_members(replica& replica, actions& out, time_point now);
bool append_members(
    replica& replica, actions& out, const membership&, time_point now);
void handle(
    replica&, actions&, const node_id& from, const append_request&, time_point);
void handle(
    replica&, actions&, const node_id& from, const append_reply&, time_point);

// Snapshots (snapshots.cpp).

void take_snapshot(
    replica& replica,
    actions& out,
    const snapshot_taken& taken,
    time_point now);
void snapshot_synced(replica& replica, actions& out, time_point now);
void send_chunk(
    replica& replica, actions& out, const node_id& to, time_point now);
void handle(
    replica&, actions&, const node_id& from, const snapshot_chunk&, time_point);
void handle(
    replica&, actions&, const node_id& from, const snapshot_reply&, time_point);

// Reads (lease.cpp).

void start_read(
    replica& replica, actions& out, const read_index&, time_point now);
void finish_reads(replica& replica, actions& out);
void fail_reads(replica& replica, actions& out);
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
