#include "consensus/internal.hpp"

#include <algorithm>

namespace bergamotusher::consensus
{

namespace
{

/// The storage id with which to admit `peer`; 0 if it must not be admitted now.
/// Only a learner is admitted, and only while no membership change is pending.
std::uint64_t storage_id_to_admit(
    const replica& replica, const node_id& id, const progress& peer)
{
    const bool safe = members_committed(replica) &&
                      replica.commit >= replica.term_start &&
                      !is_voter(members_of(replica), id);
    return safe ? peer.unadmitted_storage_id : 0;
}

/// Records whether `peer` is admitted. One with a new data folder lost its log,
/// so its match index starts again from 0.
void record_admission(progress& peer, const append_reply& reply)
{
    if (reply.unadmitted != 0 && peer.unadmitted_storage_id != reply.unadmitted)
    {
        peer.match = 0;
        peer.next = std::min(peer.next, reply.match + 1);
        peer.sending_snapshot.reset();
    }
    peer.unadmitted_storage_id = reply.unadmitted;
}

/// Updates the match and next indexes of `peer`; after a rejection, the next
/// request starts at the last possible match.
void record_match(progress& peer, const append_reply& reply)
{
    if (reply.accepted)
    {
        peer.match = std::max(peer.match, reply.match);
        peer.next = std::max(peer.next, peer.match + 1);
        if (peer.in_flight > 0)
            --peer.in_flight;
        if (peer.match + 1 == peer.next)
            peer.in_flight = 0;
        return;
    }
    peer.next = std::max(peer.match, reply.match) + 1;
    peer.in_flight = 0;
}

/// The highest index that a quorum of voters holds on disk.
log_index quorum_match(const replica& replica)
{
    const auto& voters = members_of(replica).voters;
    std::vector<log_index> matches;
    for (const node_id& voter : voters)
    {
        if (voter == replica.options.self)
            matches.push_back(replica.synced_index);
        else if (counts_for_quorum(replica, voter))
            matches.push_back(replica.followers.at(voter).match);
    }
    const std::size_t quorum = quorum_size(voters.size());
    if (matches.size() < quorum)
        return 0;
    std::sort(matches.begin(), matches.end(), std::greater<>());
    return matches[quorum - 1];
}

/// Restarts replication to a silent peer after its match index; it is sent no
/// entries until it replies.
void probe_from_match(const replica& replica, progress& peer)
{
    if (peer.responsive)
        peer.next = std::max(peer.match, replica.log.base_index) + 1;
    peer.responsive = false;
    peer.in_flight = 0;
    peer.sending_snapshot.reset();
    peer.next = std::max(peer.next, replica.log.base_index + 1);
}

/// Sends the new commit index to live followers with no request in flight.
void notify_idle_followers(replica& replica, actions& out, time_point now)
{
    for (auto& [id, peer] : replica.followers)
        if (peer.in_flight == 0 && !peer.sending_snapshot &&
            !is_silent(replica, peer, now))
            send_append(replica, out, id, now);
}

/// A learner that has been silent for `voter_lost_after` and that the settings
/// no longer name.
std::optional<node_id> removable_learner(const replica& replica, time_point now)
{
    const auto& nodes = replica.options.nodes;
    for (const node_id& id : members_of(replica).learners)
    {
        const auto peer = replica.followers.find(id);
        const bool silent = peer != replica.followers.end() &&
                            now - peer->second.heard_at >
                                replica.options.timing.voter_lost_after;
        const bool named = std::any_of(
            nodes.begin(),
            nodes.end(),
            [&](const configured_node& node) { return node.id == id; });
        if (silent && !named)
            return id;
    }
    return std::nullopt;
}

/// The voters that have not replied for two heartbeat intervals.
std::vector<silent_voter> silent_voters(const replica& replica, time_point now)
{
    std::vector<silent_voter> silent;
    for (const auto& [id, peer] : replica.followers)
        if (is_voter(members_of(replica), id) && is_silent(replica, peer, now))
            silent.push_back({id, now - peer.heard_at});
    return silent;
}

/// True if `id` is responsive, admitted and not about to leave.
bool can_take_over(const replica& replica, const node_id& id, time_point now)
{
    const auto peer = replica.followers.find(id);
    return peer != replica.followers.end() && peer->second.responsive &&
           peer->second.unadmitted_storage_id == 0 && !peer->second.leaving &&
           !is_silent(replica, peer->second, now);
}

} // namespace

bool is_silent(const replica& replica, const progress& peer, time_point now)
{
    return now - peer.heard_at > 2 * replica.options.timing.heartbeat;
}

bool counts_for_quorum(const replica& replica, const node_id& id)
{
    if (id == replica.options.self)
        return true;
    const auto peer = replica.followers.find(id);
    return peer != replica.followers.end() &&
           peer->second.unadmitted_storage_id == 0;
}

void append_as_leader(replica& replica, entry entry)
{
    entry.term = replica.hard.term;
    entry.index = last_index(replica.log) + 1;
    record_membership(replica, entry);
    append(replica.log, std::move(entry));
}

void update_followers(replica& replica, time_point now)
{
    const membership& members = members_of(replica);
    std::map<node_id, progress> tracked;
    for (const auto* ids : {&members.voters, &members.learners})
        for (const node_id& id : *ids)
        {
            if (id == replica.options.self)
                continue;
            const auto known = replica.followers.find(id);
            progress fresh;
            fresh.next = last_index(replica.log) + 1;
            fresh.acked_at = replica.elected_at - replica.options.timing.lease;
            const auto silent = replica.silent_since.find(id);
            fresh.heard_at =
                silent != replica.silent_since.end() ? silent->second : now;
            fresh.known_since = now;
            tracked[id] =
                known != replica.followers.end() ? known->second : fresh;
        }
    replica.followers = std::move(tracked);
}

void become_leader(replica& replica, actions& out, time_point now)
{
    replica.role = role::leader;
    replica.leader = replica.options.self;
    replica.elected_at = now;
    replica.followers.clear();
    update_followers(replica, now);
    replica.silent_since.clear();
    replica.term_start = last_index(replica.log) + 1;
    entry first{.kind = entry_kind::no_op, .command = {}, .members = {}};
    // The first entry of the log records the initial membership from the
    // settings.
    if (replica.term_start == 1)
    {
        first.kind = entry_kind::members;
        first.members = members_of(replica);
    }
    append_as_leader(replica, std::move(first));
    announce_role(replica, out);
    heartbeat(replica, out, now);
}

void send_append(
    replica& replica, actions& out, const node_id& to, time_point now)
{
    progress& peer = replica.followers.at(to);
    if (peer.sending_snapshot || peer.next <= replica.log.base_index)
        return send_snapshot_chunk(replica, out, to, now);
    const limits& limits = replica.options.limits;
    append_request request;
    request.term = replica.hard.term;
    request.previous_index = peer.next - 1;
    request.previous_term = *term_at(replica.log, peer.next - 1);
    request.commit = replica.commit;
    request.sent_at_us = now.time_since_epoch().count();
    request.admit = storage_id_to_admit(replica, to, peer);
    if (peer.responsive && peer.in_flight < limits.in_flight)
        request.entries =
            entries_from(replica.log, peer.next, limits.append_bytes);
    request.silent = replica.silent_voters;
    if (!request.entries.empty())
    {
        peer.next += request.entries.size();
        ++peer.in_flight;
    }
    peer.sent_at = now;
    send_now(out, to, std::move(request));
}

void replicate(replica& replica, actions& out, time_point now)
{
    for (auto& [id, peer] : replica.followers)
        while (peer.responsive && !peer.sending_snapshot &&
               peer.in_flight < replica.options.limits.in_flight &&
               peer.next > replica.log.base_index &&
               peer.next <= last_index(replica.log))
            send_append(replica, out, id, now);
}

void heartbeat(replica& replica, actions& out, time_point now)
{
    replica.heartbeat_at = now + replica.options.timing.heartbeat;
    replica.silent_voters = silent_voters(replica, now);
    for (auto& [id, peer] : replica.followers)
    {
        if (is_silent(replica, peer, now))
            probe_from_match(replica, peer);
        send_append(replica, out, id, now);
    }
}

void advance_commit(replica& replica, actions& out, time_point now)
{
    const log_index index = quorum_match(replica);
    if (index <= replica.commit ||
        term_at(replica.log, index) != replica.hard.term)
        return;
    replica.commit = index;
    notify_idle_followers(replica, out, now);
    if (members_committed(replica) &&
        !is_voter(members_of(replica), replica.options.self))
        become_follower(replica, out, replica.hard.term, {}, now);
}

progress* record_reply(
    replica& replica,
    actions& out,
    const node_id& from,
    term_number term,
    std::int64_t sent_at_us,
    time_point now)
{
    if (term > replica.hard.term)
    {
        become_follower(replica, out, term, {}, now);
        return nullptr;
    }
    const auto found = replica.followers.find(from);
    if (replica.role != role::leader || term != replica.hard.term ||
        found == replica.followers.end())
        return nullptr;
    progress& peer = found->second;
    peer.heard_at = now;
    peer.acked_at = std::max(peer.acked_at, time_point(duration(sent_at_us)));
    return &peer;
}

void handle(
    replica& replica,
    actions& out,
    const node_id& from,
    const append_reply& reply,
    time_point now)
{
    progress* follower =
        record_reply(replica, out, from, reply.term, reply.sent_at_us, now);
    if (follower == nullptr)
        return;
    progress& peer = *follower;
    peer.responsive = true;
    peer.leaving = reply.leaving;
    record_admission(peer, reply);
    record_match(peer, reply);
    complete_acked_reads(replica, out);
    advance_commit(replica, out, now);
    if (replica.role != role::leader)
        return;
    if (!reply.accepted)
        return send_append(replica, out, from, now);
    replicate(replica, out, now);
}

bool accepts_proposals(const replica& replica, time_point now)
{
    if (replica.role != role::leader || !replica.leaving)
        return replica.role == role::leader;
    const auto& voters = members_of(replica).voters;
    return std::none_of(
        voters.begin(),
        voters.end(),
        [&](const node_id& id) { return can_take_over(replica, id, now); });
}

void transfer_leadership(replica& replica, actions& out, time_point now)
{
    if (replica.role != role::leader || replica.commit < replica.term_start)
        return;
    for (const node_id& id : members_of(replica).voters)
    {
        if (!can_take_over(replica, id, now) ||
            replica.followers.at(id).match < last_index(replica.log))
            continue;
        const campaign_now request{replica.hard.term};
        become_follower(replica, out, replica.hard.term, {}, now);
        return send_now(out, id, request);
    }
}

bool append_membership(
    replica& replica, actions& out, const membership& members, time_point now)
{
    if (replica.role != role::leader || !members_committed(replica) ||
        replica.commit < replica.term_start ||
        !is_single_change(members_of(replica), members))
        return false;
    append_as_leader(
        replica,
        entry{.kind = entry_kind::members, .command = {}, .members = members});
    update_followers(replica, now);
    heartbeat(replica, out, now);
    return true;
}

std::vector<member_health> health_of(const replica& replica, time_point now)
{
    const membership& members = members_of(replica);
    const replica_options& options = replica.options;
    std::vector<member_health> health;
    const auto domain_of = [&](const node_id& id)
    {
        for (const configured_node& node : options.nodes)
            if (node.id == id)
                return node.domain;
        return failure_domain{};
    };
    const node_id& self = options.self;
    health.push_back(
        {.id = self,
         .domain = domain_of(self),
         .voter = is_voter(members, self),
         .live = !replica.leaving,
         .caught_up = true,
         .leaving = replica.leaving,
         .heard = true,
         .known_for = now - replica.elected_at});
    for (const auto& [id, peer] : replica.followers)
    {
        const duration silent_for = now - peer.heard_at;
        const duration known_for = now - peer.known_since;
        // Each member is given time to answer a new leader.
        const bool heard = silent_for < options.timing.voter_lost_after ||
                           known_for < options.timing.election_min;
        health.push_back(
            {.id = id,
             .domain = domain_of(id),
             .voter = is_voter(members, id),
             .live = heard && peer.unadmitted_storage_id == 0 && !peer.leaving,
             .unadmitted = peer.unadmitted_storage_id != 0,
             .caught_up =
                 peer.responsive &&
                 peer.match + options.limits.caught_up_lag >= replica.commit,
             .leaving = peer.leaving,
             .heard = heard,
             .absent = silent_for >= options.timing.member_excluded_after,
             .silent_for = silent_for,
             .known_for = known_for});
    }
    return health;
}

void repair_members(replica& replica, actions& out, time_point now)
{
    if (!members_committed(replica) || replica.commit < replica.term_start)
        return;
    const membership& members = members_of(replica);
    if (!replica.pending_joiners.empty())
    {
        const node_id applicant = *replica.pending_joiners.begin();
        replica.pending_joiners.erase(applicant);
        append_membership(replica, out, with_learner(members, applicant), now);
        return;
    }
    const limits& limits = replica.options.limits;
    const auto planned = plan_repair(
        members,
        health_of(replica, now),
        {limits.wanted_voters, limits.every_member_votes});
    if (planned)
        append_membership(replica, out, *planned, now);
    else if (const auto removable = removable_learner(replica, now))
        append_membership(
            replica, out, without_member(members, *removable), now);
}

} // namespace bergamotusher::consensus
