#include "consensus/internal.hpp"

#include <algorithm>

namespace bergamotusher::consensus
{

namespace
{

const membership& members_at(const replica& replica, log_index index)
{
    auto found = replica.memberships.begin();
    while (found + 1 != replica.memberships.end() &&
           (found + 1)->first <= index)
        ++found;
    return found->second;
}

/// Forgets memberships that were replaced at or before the log's base.
void trim_memberships(replica& replica)
{
    auto& all = replica.memberships;
    while (all.size() > 1 && all[1].first <= replica.log.base_index)
        all.erase(all.begin());
}

std::uint64_t persist_value(
    replica& replica,
    actions& out,
    std::shared_ptr<const snapshot> value,
    bool reset,
    time_point now)
{
    persist_now(replica, out, now);
    const std::uint64_t token = replica.next_token++;
    replica.outstanding[token] = {0, now};
    const log_index index = value->index;
    out.emplace_back(persist_snapshot{token, std::move(value), index, reset});
    return token;
}

void finish_taking(replica& replica)
{
    const log_index index = replica.taking->index;
    replica.base = std::move(replica.taking);
    const log_index kept = replica.options.limits.kept_entries;
    const log_index target = index > kept ? index - kept : 0;
    if (target > replica.log.base_index)
        compact_to(replica.log, target);
    trim_memberships(replica);
}

void finish_installing(replica& replica, actions& out)
{
    const std::shared_ptr<const snapshot> value = std::move(replica.installing);
    replica.installing.reset();
    replica.base = value;
    if (term_at(replica.log, value->index) == value->term)
        compact_to(replica.log, value->index);
    else
    {
        replica.log = {value->index, value->term, {}};
        replica.memberships.clear();
        replica.memberships.emplace_back(value->index, value->members);
        replica.persisted = value->index;
        replica.synced = value->index;
    }
    trim_memberships(replica);
    replica.commit = std::max(replica.commit, value->index);
    replica.applied = value->index;
    out.emplace_back(restore{value});
}

void start_installing(
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
        std::make_shared<const std::string>(std::move(replica.receiving));
    replica.receiving.clear();
    replica.receiving_index = 0;
    replica.installing = value;
    replica.installing_from = from;
    replica.installing_sent_at_us = chunk.sent_at_us;
    const bool conflicts = term_at(replica.log, chunk.index) != value->term;
    replica.installing_token =
        persist_value(replica, out, value, conflicts, now);
}

/// Adds the chunk if it is the next one; true if the snapshot is whole.
bool take_chunk(replica& replica, const snapshot_chunk& chunk)
{
    const bool same = replica.receiving_index == chunk.index &&
                      replica.receiving_term == chunk.term;
    if (!same || chunk.offset == 0)
    {
        replica.receiving_index = chunk.index;
        replica.receiving_term = chunk.term;
        replica.receiving.clear();
    }
    if (chunk.offset != replica.receiving.size())
        return false;
    replica.receiving += chunk.bytes;
    return chunk.last;
}

} // namespace

void take_snapshot(
    replica& replica, actions& out, const snapshot_taken& taken, time_point now)
{
    const log_index base = replica.base ? replica.base->index : 0;
    if (taken.index <= base || taken.index > replica.applied ||
        replica.taking || replica.installing)
        return;
    auto value = std::make_shared<snapshot>();
    value->index = taken.index;
    value->term = *term_at(replica.log, taken.index);
    value->members = members_at(replica, taken.index);
    value->data = taken.data;
    replica.taking = value;
    replica.taking_token = persist_value(replica, out, value, false, now);
}

void snapshot_synced(replica& replica, actions& out, time_point now)
{
    if (replica.taking && replica.synced_token >= replica.taking_token)
        finish_taking(replica);
    if (!replica.installing || replica.synced_token < replica.installing_token)
        return;
    finish_installing(replica, out);
    replica.heard_at = std::max(replica.heard_at, now);
    emit_durable(
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

void send_chunk(
    replica& replica, actions& out, const node_id& to, time_point now)
{
    progress& peer = replica.followers.at(to);
    if (!peer.sending)
    {
        peer.sending = replica.base;
        peer.offset = 0;
    }
    static const std::string nothing;
    const snapshot& value = *peer.sending;
    const std::string& data = value.data ? *value.data : nothing;
    const std::size_t size = replica.options.limits.chunk_bytes;
    peer.offset = std::min<std::uint64_t>(peer.offset, data.size());
    snapshot_chunk chunk;
    chunk.term = replica.hard.term;
    chunk.index = value.index;
    chunk.index_term = value.term;
    chunk.members = value.members;
    chunk.offset = peer.offset;
    chunk.bytes = data.substr(peer.offset, size);
    chunk.last = peer.offset + chunk.bytes.size() == data.size();
    chunk.sent_at_us = now.time_since_epoch().count();
    peer.sent_at = now;
    emit(out, to, std::move(chunk));
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
        return emit(out, from, reply);
    if (chunk.term > replica.hard.term || replica.role != role::follower ||
        replica.leader != from)
        become_follower(replica, out, chunk.term, from, now);
    replica.heard_at = now;
    reset_election(replica, now);
    reply.term = replica.hard.term;
    if (replica.installing)
        return;
    if (chunk.index <= replica.commit)
    {
        reply.installed = true;
        return emit_durable(replica, out, from, reply);
    }
    if (take_chunk(replica, chunk))
        return start_installing(replica, out, from, chunk, now);
    reply.next_offset = replica.receiving.size();
    emit_durable(replica, out, from, reply);
}

void handle(
    replica& replica,
    actions& out,
    const node_id& from,
    const snapshot_reply& reply,
    time_point now)
{
    progress* answering =
        note_answer(replica, out, from, reply.term, reply.sent_at_us, now);
    if (answering == nullptr)
        return;
    progress& peer = *answering;
    if (!peer.sending || peer.sending->index != reply.index)
        return;
    if (reply.installed)
    {
        peer.match = std::max(peer.match, reply.index);
        peer.next = peer.match + 1;
        peer.answered = true;
        peer.sending.reset();
    }
    peer.offset = reply.next_offset;
    finish_reads(replica, out);
    advance_commit(replica, out, now);
    if (replica.role == role::leader)
        send_append(replica, out, from, now);
}

} // namespace bergamotusher::consensus
