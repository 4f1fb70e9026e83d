#include "consensus/internal.hpp"

namespace bergamotusher::consensus
{

namespace
{

/// SplitMix64: the next number of the seeded sequence.
std::uint64_t next_draw(std::uint64_t& state)
{
    state += 0x9e3779b97f4a7c15U;
    std::uint64_t z = state;
    z = (z ^ (z >> 30U)) * 0xbf58476d1ce4e5b9U;
    z = (z ^ (z >> 27U)) * 0x94d049bb133111ebU;
    return z ^ (z >> 31U);
}

bool is_up_to_date(const replica& replica, const vote_request& request)
{
    const term_number own = last_term(replica.log);
    if (request.last_term != own)
        return request.last_term > own;
    return request.last_index >= last_index(replica.log);
}

/// A voter that follows a live leader helps nobody to replace it.
bool follows_live_leader(const replica& replica, time_point now)
{
    return replica.role == role::leader ||
           now < replica.heard_at + replica.options.timing.election_min;
}

bool have_quorum(const replica& replica)
{
    return replica.votes.size() >=
           quorum_size(members_of(replica).voters.size());
}

vote_request own_request(const replica& replica, bool pre)
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
    replica.votes.clear();
    replica.vote_token = covering_token(replica);
    reset_election(replica, now);
    announce_role(replica, out);
    vote_request request = own_request(replica, false);
    request.transfer = transfer;
    for (const node_id& voter : members_of(replica).voters)
        if (voter != replica.options.self)
            emit_durable(replica, out, voter, request);
}

} // namespace

void reset_election(replica& replica, time_point now)
{
    const timing& timing = replica.options.timing;
    const auto spread = static_cast<std::uint64_t>(
        (timing.election_max - timing.election_min).count());
    replica.election_at = now + timing.election_min +
                          duration(next_draw(replica.draws) % (spread + 1));
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
    replica.followers.clear();
    replica.applicants.clear();
    replica.votes.clear();
    if (replica.role == role::leader)
        reset_election(replica, now);
    replica.role = role::follower;
    replica.leader = leader;
    if (changed)
        announce_role(replica, out);
}

void start_pre_vote(replica& replica, actions& out, time_point now)
{
    replica.role = role::pre_candidate;
    replica.leader = {};
    replica.votes = {replica.options.self};
    reset_election(replica, now);
    announce_role(replica, out);
    if (have_quorum(replica))
        return start_election(replica, out, now);
    for (const node_id& voter : members_of(replica).voters)
        if (voter != replica.options.self)
            emit(out, voter, own_request(replica, true));
}

void count_own_vote(replica& replica, actions& out, time_point now)
{
    if (replica.role != role::candidate ||
        replica.synced_token < replica.vote_token)
        return;
    replica.votes.insert(replica.options.self);
    if (have_quorum(replica))
        become_leader(replica, out, now);
}

void handle(
    replica& replica,
    actions& out,
    const node_id& from,
    const vote_request& request,
    time_point now)
{
    const bool usable = replica.hard.admitted &&
                        is_up_to_date(replica, request) && !replica.installing;
    // A leader that hands over has given up the lease that holds voters back.
    const bool held_back =
        !request.transfer && follows_live_leader(replica, now);
    vote_reply reply{request.pre, replica.hard.term, false};
    if (request.pre)
    {
        reply.granted =
            usable && !held_back && request.term > replica.hard.term;
        reply.term = reply.granted ? request.term : replica.hard.term;
        return emit(out, from, reply);
    }
    if (held_back || request.term < replica.hard.term)
        return emit(out, from, reply);
    if (request.term > replica.hard.term)
        become_follower(replica, out, request.term, {}, now);
    reply.term = replica.hard.term;
    reply.granted = usable && replica.role == role::follower &&
                    (replica.hard.vote.empty() || replica.hard.vote == from);
    if (reply.granted && replica.hard.vote != from)
    {
        replica.hard.vote = from;
        replica.hard_changed = true;
        reset_election(replica, now);
    }
    emit_durable(replica, out, from, reply);
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
    const bool pre = replica.role == role::pre_candidate && reply.pre &&
                     reply.term == replica.hard.term + 1;
    const bool real = replica.role == role::candidate && !reply.pre &&
                      reply.term == replica.hard.term;
    if ((!pre && !real) || !is_voter(members_of(replica), from))
        return;
    replica.votes.insert(from);
    if (!have_quorum(replica))
        return;
    if (pre)
        start_election(replica, out, now);
    else
        become_leader(replica, out, now);
}

} // namespace bergamotusher::consensus
