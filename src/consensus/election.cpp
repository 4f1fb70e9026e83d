#include "consensus/internal.hpp"

namespace bergamotusher::consensus
{

namespace
{

/// Returns the next number of a SplitMix64 sequence and advances `state`.
std::uint64_t next_random(std::uint64_t& state)
{
    state += 0x9e3779b97f4a7c15U;
    std::uint64_t z = state;
    z = (z ^ (z >> 30U)) * 0xbf58476d1ce4e5b9U;
    z = (z ^ (z >> 27U)) * 0x94d049bb133111ebU;
    return z ^ (z >> 31U);
}

/// True if the log of the candidate is at least as up to date as the own one.
bool is_up_to_date(const replica& replica, const vote_request& request)
{
    const term_number own = last_term(replica.log);
    if (request.last_term != own)
        return request.last_term > own;
    return request.last_index >= last_index(replica.log);
}

/// True if this replica leads or heard from a leader within the minimum
/// election timeout. It then rejects votes, so that a live leader is not
/// deposed.
bool follows_live_leader(const replica& replica, time_point now)
{
    return replica.role == role::leader ||
           now < replica.leader_heard_at + replica.options.timing.election_min;
}

bool has_vote_quorum(const replica& replica)
{
    return replica.votes_granted.size() >=
           quorum_size(members_of(replica).voters.size());
}

vote_request make_vote_request(const replica& replica, bool pre)
{
    return vote_request{
        pre,
        pre ? replica.hard.term + 1 : replica.hard.term,
        last_index(replica.log),
        last_term(replica.log)};
}

void start_election(
    replica& replica, actions& out, time_point now, bool transfer = false)
{
    replica.role = role::candidate;
    ++replica.hard.term;
    replica.hard.vote = replica.options.self;
    replica.hard_changed = true;
    replica.votes_granted.clear();
    replica.vote_sync_token = covering_sync_token(replica);
    reset_election_timer(replica, now);
    announce_role(replica, out);
    vote_request request = make_vote_request(replica, false);
    request.transfer = transfer;
    for (const node_id& voter : members_of(replica).voters)
        if (voter != replica.options.self)
            send_after_sync(replica, out, voter, request);
}

} // namespace

void reset_election_timer(replica& replica, time_point now)
{
    const timing& timing = replica.options.timing;
    const auto spread = static_cast<std::uint64_t>(
        (timing.election_max - timing.election_min).count());
    replica.election_at =
        now + timing.election_min +
        duration(next_random(replica.random_state) % (spread + 1));
}

void forget_leader(replica& replica)
{
    if (!replica.leader.empty() && replica.leader != replica.options.self)
        replica.silent_since.emplace(replica.leader, replica.leader_heard_at);
    replica.leader = {};
}

void become_follower(
    replica& replica,
    actions& out,
    term_number term,
    const node_id& leader,
    time_point now)
{
    const bool changed = replica.role != role::follower ||
                         replica.hard.term != term || replica.leader != leader;
    if (term > replica.hard.term)
    {
        replica.hard.term = term;
        replica.hard.vote = {};
        replica.hard_changed = true;
    }
    fail_reads(replica, out);
    for (const auto& [id, peer] : replica.followers)
        if (is_silent(replica, peer, now))
            replica.silent_since.emplace(id, peer.heard_at);
    replica.followers.clear();
    replica.pending_joiners.clear();
    replica.votes_granted.clear();
    if (replica.role == role::leader)
        reset_election_timer(replica, now);
    replica.role = role::follower;
    if (replica.leader != leader)
        forget_leader(replica);
    replica.leader = leader;
    if (changed)
        announce_role(replica, out);
}

void start_pre_vote(replica& replica, actions& out, time_point now)
{
    replica.role = role::pre_candidate;
    replica.leader = {};
    replica.votes_granted = {replica.options.self};
    reset_election_timer(replica, now);
    announce_role(replica, out);
    if (has_vote_quorum(replica))
        return start_election(replica, out, now);
    for (const node_id& voter : members_of(replica).voters)
        if (voter != replica.options.self)
            send_now(out, voter, make_vote_request(replica, true));
}

void count_own_vote(replica& replica, actions& out, time_point now)
{
    if (replica.role != role::candidate ||
        replica.synced_token < replica.vote_sync_token)
        return;
    replica.votes_granted.insert(replica.options.self);
    if (has_vote_quorum(replica))
        become_leader(replica, out, now);
}

void handle(
    replica& replica,
    actions& out,
    const node_id& from,
    const vote_request& request,
    time_point now)
{
    const bool may_vote = replica.hard.admitted &&
                          is_up_to_date(replica, request) &&
                          !replica.installing_snapshot;
    // In a leadership transfer the old leader has already given up the lease
    // that voters protect by rejecting votes.
    const bool blocked_by_leader =
        !request.transfer && follows_live_leader(replica, now);
    vote_reply reply{request.pre, replica.hard.term, false};
    if (request.pre)
    {
        reply.granted =
            may_vote && !blocked_by_leader && request.term > replica.hard.term;
        reply.term = reply.granted ? request.term : replica.hard.term;
        return send_now(out, from, reply);
    }
    if (blocked_by_leader || request.term < replica.hard.term)
        return send_now(out, from, reply);
    if (request.term > replica.hard.term)
        become_follower(replica, out, request.term, {}, now);
    reply.term = replica.hard.term;
    reply.granted = may_vote && replica.role == role::follower &&
                    (replica.hard.vote.empty() || replica.hard.vote == from);
    if (reply.granted && replica.hard.vote != from)
    {
        replica.hard.vote = from;
        replica.hard_changed = true;
        reset_election_timer(replica, now);
    }
    send_after_sync(replica, out, from, reply);
}

void handle(
    replica& replica,
    actions& out,
    const node_id&,
    const campaign_now& request,
    time_point now)
{
    if (request.term == replica.hard.term && replica.role == role::follower &&
        may_campaign(replica, now))
        start_election(replica, out, now, true);
}

void handle(
    replica& replica,
    actions& out,
    const node_id& from,
    const vote_reply& reply,
    time_point now)
{
    if (!reply.granted)
    {
        if (reply.term > replica.hard.term)
            become_follower(replica, out, reply.term, {}, now);
        return;
    }
    const bool wins_pre_vote = replica.role == role::pre_candidate &&
                               reply.pre && reply.term == replica.hard.term + 1;
    const bool wins_vote = replica.role == role::candidate && !reply.pre &&
                           reply.term == replica.hard.term;
    if ((!wins_pre_vote && !wins_vote) || !is_voter(members_of(replica), from))
        return;
    replica.votes_granted.insert(from);
    if (!has_vote_quorum(replica))
        return;
    if (wins_pre_vote)
        start_election(replica, out, now);
    else
        become_leader(replica, out, now);
}

} // namespace bergamotusher::consensus
