#include "consensus/internal.hpp"

#include <algorithm>

namespace bergamotusher::consensus
{

namespace
{

bool is_silent(const replica& replica, const progress& peer, time_point now)
{
    return now - peer.heard_at > 2 * replica.options.timing.heartbeat;
}

/// The id to admit `peer` by; 0 if it must not be admitted now.
std::uint64_t
admitted_id(const replica& replica, const node_id& id, const progress& peer)
{
    const bool safe = members_committed(replica) &&
                      replica.commit >= replica.term_start &&
                      !is_voter(members_of(replica), id);
    return safe ? peer.unadmitted : 0;
}

/// A replica whose folder is new holds nothing of what it held before.
void note_admission(progress& peer, const append_reply& reply)
{
    if (reply.unadmitted != 0 && peer.unadmitted != reply.unadmitted)
    {
        peer.match = 0;
        peer.next = std::min(peer.next, reply.match + 1);
        peer.sending.reset();
    }
    peer.unadmitted = reply.unadmitted;
}

void note_match(progress& peer, const append_reply& reply)
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

log_index quorum_match(const replica& replica)
{
    const auto& voters = members_of(replica).voters;
    std::vector<log_index> matches;
    for (const node_id& voter : voters)
    {
        if (voter == replica.options.self)
            matches.push_back(replica.synced);
        else if (counts(replica, voter))
            matches.push_back(replica.followers.at(voter).match);
    }
    const std::size_t quorum = quorum_size(voters.size());
    if (matches.size() < quorum)
        return 0;
    std::sort(matches.begin(), matches.end(), std::greater<>());
    return matches[quorum - 1];
}

/// Sends a silent peer no entries until it answers.
void probe_from_match(const replica& replica, progress& peer)
{
    if (peer.answered)
        peer.next = std::max(peer.match, replica.log.base_index) + 1;
    peer.answered = false;
    peer.in_flight = 0;
    peer.sending.reset();
    peer.next = std::max(peer.next, replica.log.base_index + 1);
}

void tell_idle_followers(replica& replica, actions& out, time_point now)
{
    for (auto& [id, peer] : replica.followers)
        if (peer.in_flight == 0 && !peer.sending &&
            !is_silent(replica, peer, now))
            send_append(replica, out, id, now);
}

/// A silent learner that the settings no longer name.
std::optional<node_id> retired_learner(const replica& replica, time_point now)
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
            [&](const candidate_member& node) { return node.id == id; });
        if (silent && !named)
            return id;
    }
    return std::nullopt;
}

/// The number of voters to repair towards.
std::size_t voters_wanted(const replica& replica, time_point now)
{
    const limits& limits = replica.options.limits;
    if (!limits.every_member_votes)
        return limits.wanted_voters;
    const auto remembered = [&](const auto& follower)
    {
        return now - follower.second.heard_at <
               replica.options.timing.member_forgotten_after;
    };
    const auto heard = static_cast<std::size_t>(std::count_if(
        replica.followers.begin(), replica.followers.end(), remembered));
    return std::max(limits.wanted_voters, heard + 1);
}

bool may_succeed(const replica& replica, const node_id& id, time_point now)
{
    const auto peer = replica.followers.find(id);
    return peer != replica.followers.end() && peer->second.answered &&
           peer->second.unadmitted == 0 && !peer->second.leaving &&
           !is_silent(replica, peer->second, now);
}

} // namespace

bool counts(const replica& replica, const node_id& id)
{
    if (id == replica.options.self)
        return true;
    const auto peer = replica.followers.find(id);
    return peer != replica.followers.end() && peer->second.unadmitted == 0;
}

void append_own(replica& replica, entry entry)
{
    entry.term = replica.hard.term;
    entry.index = last_index(replica.log) + 1;
    note_membership(replica, entry);
    replica.log.entries.push_back(std::move(entry));
}

void track_members(replica& replica, time_point now)
{
    const membership& members = members_of(replica);
    std::map<node_id, progress> kept;
    for (const auto* ids : {&members.voters, &members.learners})
        for (const node_id& id : *ids)
        {
            if (id == replica.options.self)
                continue;
            const auto known = replica.followers.find(id);
            progress fresh;
            fresh.next = last_index(replica.log) + 1;
            fresh.acked_at = replica.elected_at - replica.options.timing.lease;
            fresh.heard_at = now;
            kept[id] = known != replica.followers.end() ? known->second : fresh;
        }
    replica.followers = std::move(kept);
}

void become_leader(replica& replica, actions& out, time_point now)
{
    replica.role = role::leader;
    replica.leader = replica.options.self;
    replica.elected_at = now;
    replica.followers.clear();
    track_members(replica, now);
    replica.term_start = last_index(replica.log) + 1;
    entry first{.kind = entry_kind::no_op, .command = {}, .members = {}};
    // The first entry of all fixes the membership that the settings gave.
    if (replica.term_start == 1)
    {
        first.kind = entry_kind::members;
        first.members = members_of(replica);
    }
    append_own(replica, std::move(first));
    announce_role(replica, out);
    heartbeat(replica, out, now);
}

void send_append(
    replica& replica, actions& out, const node_id& to, time_point now)
{
    progress& peer = replica.followers.at(to);
    if (peer.sending || peer.next <= replica.log.base_index)
        return send_chunk(replica, out, to, now);
    const limits& limits = replica.options.limits;
    append_request request;
    request.term = replica.hard.term;
    request.previous_index = peer.next - 1;
    request.previous_term = *term_at(replica.log, peer.next - 1);
    request.commit = replica.commit;
    request.sent_at_us = now.time_since_epoch().count();
    request.admit = admitted_id(replica, to, peer);
    if (peer.answered && peer.in_flight < limits.in_flight)
        request.entries =
            entries_from(replica.log, peer.next, limits.append_bytes);
    if (!request.entries.empty())
    {
        peer.next += request.entries.size();
        ++peer.in_flight;
    }
    peer.sent_at = now;
    emit(out, to, std::move(request));
}

void replicate(replica& replica, actions& out, time_point now)
{
    for (auto& [id, peer] : replica.followers)
        while (peer.answered && !peer.sending &&
               peer.in_flight < replica.options.limits.in_flight &&
               peer.next > replica.log.base_index &&
               peer.next <= last_index(replica.log))
            send_append(replica, out, id, now);
}

void heartbeat(replica& replica, actions& out, time_point now)
{
    replica.heartbeat_at = now + replica.options.timing.heartbeat;
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
    apply_committed(replica, out);
    tell_idle_followers(replica, out, now);
    if (members_committed(replica) &&
        !is_voter(members_of(replica), replica.options.self))
        become_follower(replica, out, replica.hard.term, {}, now);
}

progress* note_answer(
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
    progress* answering =
        note_answer(replica, out, from, reply.term, reply.sent_at_us, now);
    if (answering == nullptr)
        return;
    progress& peer = *answering;
    peer.answered = true;
    peer.leaving = reply.leaving;
    note_admission(peer, reply);
    note_match(peer, reply);
    finish_reads(replica, out);
    advance_commit(replica, out, now);
    if (replica.role != role::leader)
        return;
    if (!reply.accepted)
        return send_append(replica, out, from, now);
    replicate(replica, out, now);
}

bool takes_proposals(const replica& replica, time_point now)
{
    if (replica.role != role::leader || !replica.leaving)
        return replica.role == role::leader;
    const auto& voters = members_of(replica).voters;
    return std::none_of(
        voters.begin(),
        voters.end(),
        [&](const node_id& id) { return may_succeed(replica, id, now); });
}

void hand_over(replica& replica, actions& out, time_point now)
{
    if (replica.role != role::leader || replica.commit < replica.term_start)
        return;
    for (const node_id& id : members_of(replica).voters)
    {
        if (!may_succeed(replica, id, now) ||
            replica.followers.at(id).match < last_index(replica.log))
            continue;
        const campaign_now request{replica.hard.term};
        become_follower(replica, out, replica.hard.term, {}, now);
        return emit(out, id, request);
    }
}

bool append_members(
    replica& replica, actions& out, const membership& members, time_point now)
{
    if (replica.role != role::leader || !members_committed(replica) ||
        replica.commit < replica.term_start ||
        !is_single_change(members_of(replica), members))
        return false;
    append_own(
        replica,
        entry{.kind = entry_kind::members, .command = {}, .members = members});
    track_members(replica, now);
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
        for (const candidate_member& node : options.nodes)
            if (node.id == id)
                return node.domain;
        return failure_domain{};
    };
    const node_id& self = options.self;
    health.push_back(
        {self,
         domain_of(self),
         is_voter(members, self),
         !replica.leaving,
         false,
         true});
    for (const auto& [id, peer] : replica.followers)
    {
        const bool heard =
            now - peer.heard_at < options.timing.voter_lost_after;
        health.push_back(
            {id,
             domain_of(id),
             is_voter(members, id),
             heard && peer.unadmitted == 0 && !peer.leaving,
             peer.unadmitted != 0,
             peer.answered &&
                 peer.match + options.limits.caught_up_lag >= replica.commit});
    }
    return health;
}

void repair_members(replica& replica, actions& out, time_point now)
{
    if (!members_committed(replica) || replica.commit < replica.term_start)
        return;
    const membership& members = members_of(replica);
    if (!replica.applicants.empty())
    {
        const node_id applicant = *replica.applicants.begin();
        replica.applicants.erase(applicant);
        append_members(replica, out, with_learner(members, applicant), now);
        return;
    }
    const auto planned = plan_repair(
        members, health_of(replica, now), voters_wanted(replica, now));
    if (planned)
        append_members(replica, out, *planned, now);
    else if (const auto gone = retired_learner(replica, now))
        append_members(replica, out, without(members, *gone), now);
}

} // namespace bergamotusher::consensus
