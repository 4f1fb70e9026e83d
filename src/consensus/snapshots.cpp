#include "consensus/internal.hpp"

#include <algorithm>

namespace bergamotusher::consensus
{

namespace
{

/// The membership in force at `index`.
const membership& membership_at(const replica& replica, log_index index)
{
    auto found = replica.memberships.begin();
    while (found + 1 != replica.memberships.end() &&
           (found + 1)->first <= index)
        ++found;
    return found->second;
}

/// Removes memberships that were replaced at or before the log's base.
void trim_memberships(replica& replica)
{
    auto& all = replica.memberships;
    while (all.size() > 1 && all[1].first <= replica.log.base_index)
        all.erase(all.begin());
}

/// Hands a snapshot to storage, after all earlier changes; returns the token of
/// its sync.
std::uint64_t queue_snapshot_write(
    replica& replica,
    actions& out,
    std::shared_ptr<const snapshot> value,
    bool reset,
    time_point now)
{
    persist_changes(replica, out, now);
    const std::uint64_t token = replica.next_token++;
    replica.outstanding_syncs[token] = {0, now};
    const log_index index = value->index;
    out.emplace_back(persist_snapshot{token, std::move(value), index, reset});
    return token;
}

/// The lowest index up to which a live follower has the log, or will have it
/// with the snapshot that it is being sent.
log_index index_at_all_followers(const replica& replica, time_point now)
{
    log_index lowest = last_index(replica.log);
    for (const auto& [id, peer] : replica.followers)
        if (now - peer.heard_at < replica.options.timing.voter_lost_after)
            lowest = std::min(
                lowest,
                peer.sending_snapshot ? peer.sending_snapshot->index
                                      : peer.match);
    return lowest;
}

/// The index up to which the log below a snapshot at `index` is removed.
log_index
compaction_target(const replica& replica, log_index index, time_point now)
{
    const limits& limits = replica.options.limits;
    const log_index needed_above = replica.role == role::leader
                                       ? index_at_all_followers(replica, now)
                                       : index;
    std::size_t entries = 0;
    std::size_t bytes = 0;
    while (index > replica.log.base_index && entries < limits.kept_entries)
    {
        bytes += size_of(entry_at(replica.log, index));
        if (bytes > (index > needed_above ? limits.kept_bytes_for_followers
                                          : limits.kept_bytes))
            break;
        ++entries;
        --index;
    }
    return index;
}

/// Makes the synced local snapshot the base and compacts the log, except for
/// some entries below it.
void complete_local_snapshot(replica& replica, time_point now)
{
    replica.base = std::move(replica.pending_snapshot);
    const log_index target =
        compaction_target(replica, replica.base->index, now);
    if (target > replica.log.base_index)
        compact_to(replica.log, target);
    trim_memberships(replica);
}

/// Makes the synced received snapshot the base, drops the log unless it agrees
/// with it, and restores the state machine.
void complete_install(replica& replica, actions& out)
{
    const std::shared_ptr<const snapshot> value =
        std::move(replica.installing_snapshot);
    replica.installing_snapshot.reset();
    replica.base = value;
    if (term_at(replica.log, value->index) == value->term)
        compact_to(replica.log, value->index);
    else
    {
        replica.log = {value->index, value->term, {}};
        replica.memberships.clear();
        replica.memberships.emplace_back(value->index, value->members);
        replica.persisted_index = value->index;
        replica.synced_index = value->index;
    }
    trim_memberships(replica);
    replica.commit = std::max(replica.commit, value->index);
    replica.applied = value->index;
    out.emplace_back(restore{value});
}

/// Hands the complete received snapshot to storage.
void start_install(
    replica& replica,
    actions& out,
    const node_id& from,
    const snapshot_chunk& chunk,
    time_point now)
{
    auto value = std::make_shared<snapshot>();
    value->index = chunk.index;
    value->term = chunk.index_term;
    value->members = chunk.members;
    value->data =
        std::make_shared<const std::string>(std::move(replica.received_data));
    replica.received_data.clear();
    replica.receiving_index = 0;
    replica.installing_snapshot = value;
    replica.installing_from = from;
    replica.installing_sent_at_us = chunk.sent_at_us;
    const bool conflicts = term_at(replica.log, chunk.index) != value->term;
    replica.installing_token =
        queue_snapshot_write(replica, out, value, conflicts, now);
}

/// Appends the chunk if it is the next one; true if the snapshot is complete.
bool append_chunk(replica& replica, const snapshot_chunk& chunk)
{
    const bool same = replica.receiving_index == chunk.index &&
                      replica.receiving_term == chunk.term;
    if (!same || chunk.offset == 0)
    {
        replica.receiving_index = chunk.index;
        replica.receiving_term = chunk.term;
        replica.received_data.clear();
    }
    if (chunk.offset != replica.received_data.size())
        return false;
    replica.received_data += chunk.bytes;
    return chunk.last;
}

} // namespace

void persist_taken_snapshot(
    replica& replica, actions& out, const snapshot_taken& taken, time_point now)
{
    const log_index base = replica.base ? replica.base->index : 0;
    if (taken.index <= base || taken.index > replica.applied ||
        replica.pending_snapshot || replica.installing_snapshot)
        return;
    auto value = std::make_shared<snapshot>();
    value->index = taken.index;
    value->term = *term_at(replica.log, taken.index);
    value->members = membership_at(replica, taken.index);
    value->data = taken.data;
    replica.pending_snapshot = value;
    replica.taking_token =
        queue_snapshot_write(replica, out, value, false, now);
}

void complete_synced_snapshots(replica& replica, actions& out, time_point now)
{
    if (replica.pending_snapshot &&
        replica.synced_token >= replica.taking_token)
        complete_local_snapshot(replica, now);
    if (!replica.installing_snapshot ||
        replica.synced_token < replica.installing_token)
        return;
    complete_install(replica, out);
    replica.leader_heard_at = std::max(replica.leader_heard_at, now);
    send_after_sync(
        replica,
        out,
        replica.installing_from,
        snapshot_reply{
            replica.hard.term,
            replica.base->index,
            0,
            true,
            replica.installing_sent_at_us});
}

void send_snapshot_chunk(
    replica& replica, actions& out, const node_id& to, time_point now)
{
    progress& peer = replica.followers.at(to);
    if (!peer.sending_snapshot)
    {
        peer.sending_snapshot = replica.base;
        peer.snapshot_offset = 0;
    }
    static const std::string no_data;
    const snapshot& value = *peer.sending_snapshot;
    const std::string& data = value.data ? *value.data : no_data;
    const std::size_t size = replica.options.limits.chunk_bytes;
    peer.snapshot_offset =
        std::min<std::uint64_t>(peer.snapshot_offset, data.size());
    snapshot_chunk chunk;
    chunk.term = replica.hard.term;
    chunk.index = value.index;
    chunk.index_term = value.term;
    chunk.members = value.members;
    chunk.offset = peer.snapshot_offset;
    chunk.bytes = data.substr(peer.snapshot_offset, size);
    chunk.last = peer.snapshot_offset + chunk.bytes.size() == data.size();
    chunk.sent_at_us = now.time_since_epoch().count();
    peer.sent_at = now;
    send_now(out, to, std::move(chunk));
}

void handle(
    replica& replica,
    actions& out,
    const node_id& from,
    const snapshot_chunk& chunk,
    time_point now)
{
    snapshot_reply reply{
        replica.hard.term, chunk.index, 0, false, chunk.sent_at_us};
    if (chunk.term < replica.hard.term)
        return send_now(out, from, reply);
    if (chunk.term > replica.hard.term || replica.role != role::follower ||
        replica.leader != from)
        become_follower(replica, out, chunk.term, from, now);
    replica.leader_heard_at = now;
    reset_election_timer(replica, now);
    reply.term = replica.hard.term;
    if (replica.installing_snapshot)
        return;
    if (chunk.index <= replica.commit)
    {
        reply.installed = true;
        return send_after_sync(replica, out, from, reply);
    }
    if (append_chunk(replica, chunk))
        return start_install(replica, out, from, chunk, now);
    reply.next_offset = replica.received_data.size();
    send_after_sync(replica, out, from, reply);
}

void handle(
    replica& replica,
    actions& out,
    const node_id& from,
    const snapshot_reply& reply,
    time_point now)
{
    progress* follower =
        record_reply(replica, out, from, reply.term, reply.sent_at_us, now);
    if (follower == nullptr)
        return;
    progress& peer = *follower;
    if (!peer.sending_snapshot || peer.sending_snapshot->index != reply.index)
        return;
    if (reply.installed)
    {
        peer.match = std::max(peer.match, reply.index);
        peer.next = peer.match + 1;
        peer.responsive = true;
        peer.sending_snapshot.reset();
    }
    peer.snapshot_offset = reply.next_offset;
    complete_acked_reads(replica, out);
    advance_commit(replica, out, now);
    if (replica.role == role::leader)
        send_append(replica, out, from, now);
}

} // namespace bergamotusher::consensus
