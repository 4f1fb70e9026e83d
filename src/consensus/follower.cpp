#include "consensus/internal.hpp"

#include <algorithm>
#include <cassert>

namespace bergamotusher::consensus
{

namespace
{

/// Makes room at `first`: what stands there conflicts with the leader's log.
void drop_conflict(replica& replica, log_index first)
{
    assert(first > replica.commit);
    truncate_from(replica.log, first);
    replica.persisted = std::min(replica.persisted, first - 1);
    replica.synced = std::min(replica.synced, first - 1);
    for (auto& [token, sync] : replica.outstanding)
        sync.last = std::min(sync.last, first - 1);
    while (replica.memberships.back().first >= first)
        replica.memberships.pop_back();
}

void append_entries(replica& replica, const std::vector<entry>& entries)
{
    for (const entry& entry : entries)
    {
        if (entry.index <= replica.log.base_index)
            continue;
        const auto term = term_at(replica.log, entry.index);
        if (term == entry.term)
            continue;
        if (term)
            drop_conflict(replica, entry.index);
        replica.log.entries.push_back(entry);
        note_membership(replica, entry);
    }
}

/// The last index at which this log can equal the leader's.
log_index possible_match(const replica& replica, const append_request& request)
{
    const log_index last = last_index(replica.log);
    if (last < request.previous_index)
        return last;
    const auto conflicting = term_at(replica.log, request.previous_index);
    log_index index = request.previous_index;
    while (index > replica.commit && term_at(replica.log, index) == conflicting)
        --index;
    return index;
}

bool fits(const replica& replica, const append_request& request)
{
    // Everything up to the base is committed, so the leader has it too.
    if (request.previous_index <= replica.log.base_index)
        return true;
    return term_at(replica.log, request.previous_index) ==
           request.previous_term;
}

} // namespace

void note_membership(replica& replica, const entry& entry)
{
    if (entry.kind == entry_kind::members)
        replica.memberships.emplace_back(entry.index, entry.members);
}

void apply_committed(replica& replica, actions& out)
{
    const log_index end = std::min(replica.commit, replica.synced);
    while (replica.applied < end)
    {
        ++replica.applied;
        out.emplace_back(apply{entry_at(replica.log, replica.applied)});
    }
}

void handle(
    replica& replica,
    actions& out,
    const node_id& from,
    const append_request& request,
    time_point now)
{
    append_reply reply{
        replica.hard.term, false, 0, request.sent_at_us, 0, replica.leaving};
    if (request.term < replica.hard.term)
        return emit(out, from, reply);
    if (request.term > replica.hard.term || replica.role != role::follower ||
        replica.leader != from)
        become_follower(replica, out, request.term, from, now);
    replica.heard_at = now;
    reset_election(replica, now);
    if (replica.installing)
        return;
    if (!replica.hard.admitted && request.admit == replica.options.storage_id)
        admit(replica, out, now);
    reply.term = replica.hard.term;
    reply.unadmitted = replica.hard.admitted ? 0 : replica.options.storage_id;
    if (!fits(replica, request))
    {
        reply.match = possible_match(replica, request);
        return emit_durable(replica, out, from, reply);
    }
    append_entries(replica, request.entries);
    reply.accepted = true;
    reply.match = std::max(
        request.previous_index + request.entries.size(),
        replica.log.base_index);
    replica.commit =
        std::max(replica.commit, std::min(request.commit, reply.match));
    apply_committed(replica, out);
    emit_durable(replica, out, from, reply);
}

} // namespace bergamotusher::consensus
