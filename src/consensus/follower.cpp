#include "consensus/internal.hpp"

#include <algorithm>
#include <cassert>

namespace bergamotusher::consensus
{

namespace
{

/// Removes the uncommitted entries from `first` on, which conflict with the
/// leader's log.
void truncate_conflict(replica& replica, log_index first)
{
    assert(first > replica.commit);
    truncate_from(replica.log, first);
    replica.persisted_index = std::min(replica.persisted_index, first - 1);
    replica.synced_index = std::min(replica.synced_index, first - 1);
    for (auto& [token, sync] : replica.outstanding_syncs)
        sync.last = std::min(sync.last, first - 1);
    while (replica.memberships.back().first >= first)
        replica.memberships.pop_back();
}

/// Appends the leader's entries; skips those already held and truncates the log
/// at the first that conflicts.
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
            truncate_conflict(replica, entry.index);
        append(replica.log, entry);
        record_membership(replica, entry);
    }
}

/// The last index at which this log can still match the leader's. Skips all
/// entries of a conflicting term at once, so that the leader needs one retry
/// per term rather than per entry.
log_index
last_possible_match(const replica& replica, const append_request& request)
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

/// The consistency check of an append: this log holds the entry that precedes
/// the sent ones.
bool matches_previous_entry(
    const replica& replica, const append_request& request)
{
    // Entries up to the base are committed, so the leader holds the same ones.
    if (request.previous_index <= replica.log.base_index)
        return true;
    return term_at(replica.log, request.previous_index) ==
           request.previous_term;
}

} // namespace

void record_membership(replica& replica, const entry& entry)
{
    if (entry.kind == entry_kind::members)
        replica.memberships.emplace_back(entry.index, entry.members);
}

bool has_unapplied(const replica& replica)
{
    return replica.role != role::halted &&
           replica.applied < std::min(replica.commit, replica.synced_index);
}

void apply_committed(replica& replica, actions& out)
{
    const limits& limits = replica.options.limits;
    std::size_t entries = 0;
    std::size_t bytes = 0;
    while (has_unapplied(replica) && entries < limits.apply_entries)
    {
        const entry& next = entry_at(replica.log, replica.applied + 1);
        bytes += size_of(next);
        if (entries > 0 && bytes > limits.apply_bytes)
            return;
        ++entries;
        ++replica.applied;
        out.emplace_back(apply{next});
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
        return send_now(out, from, reply);
    if (request.term > replica.hard.term || replica.role != role::follower ||
        replica.leader != from)
        become_follower(replica, out, request.term, from, now);
    replica.leader_heard_at = now;
    replica.introduced_members.clear();
    replica.silent_since.clear();
    for (const silent_voter& voter : request.silent)
        replica.silent_since.emplace(voter.id, now - voter.silent_for);
    reset_election_timer(replica, now);
    if (replica.installing_snapshot)
        return;
    if (!replica.hard.admitted && request.admit == replica.options.storage_id)
        admit(replica, out, now);
    reply.term = replica.hard.term;
    reply.unadmitted = replica.hard.admitted ? 0 : replica.options.storage_id;
    if (!matches_previous_entry(replica, request))
    {
        reply.match = last_possible_match(replica, request);
        return send_after_sync(replica, out, from, reply);
    }
    append_entries(replica, request.entries);
    reply.accepted = true;
    reply.match = std::max(
        request.previous_index + request.entries.size(),
        replica.log.base_index);
    replica.commit =
        std::max(replica.commit, std::min(request.commit, reply.match));
    send_after_sync(replica, out, from, reply);
}

} // namespace bergamotusher::consensus
