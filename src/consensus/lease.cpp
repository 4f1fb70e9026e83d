#include "consensus/internal.hpp"

#include <algorithm>

namespace bergamotusher::consensus
{

namespace
{

duration scaled(duration interval, double factor)
{
    return duration(static_cast<std::int64_t>(
        static_cast<double>(interval.count()) * factor));
}

/// True if this leader has committed an entry of its own term, so that its
/// commit index covers everything that earlier leaders committed.
bool has_committed_in_term(const replica& replica)
{
    return replica.role == role::leader && replica.commit >= replica.term_start;
}

} // namespace

time_point quorum_acked_at(const replica& replica)
{
    const auto& voters = members_of(replica).voters;
    std::vector<time_point> acked;
    for (const node_id& voter : voters)
    {
        if (voter == replica.options.self)
            acked.push_back(time_point::max());
        else if (counts_for_quorum(replica, voter))
            acked.push_back(replica.followers.at(voter).acked_at);
    }
    const std::size_t quorum = quorum_size(voters.size());
    if (acked.size() < quorum)
        return time_point::min();
    std::sort(acked.begin(), acked.end(), std::greater<>());
    return acked[quorum - 1];
}

time_point lease_until(const replica& replica)
{
    if (replica.role != role::leader)
        return time_point::min();
    const time_point acked = quorum_acked_at(replica);
    if (acked == time_point::max() || acked == time_point::min())
        return acked;
    return acked + replica.options.timing.lease;
}

bool may_act_as_sole_leader(const replica& replica, time_point now)
{
    const timing& timing = replica.options.timing;
    const duration wait = scaled(timing.lease, 1 + 2 * timing.clock_drift);
    return has_committed_in_term(replica) &&
           replica.applied >= replica.term_start &&
           now < lease_until(replica) && now >= replica.elected_at + wait;
}

std::optional<log_index> lease_read(const replica& replica, time_point now)
{
    if (!has_committed_in_term(replica) || now >= lease_until(replica))
        return std::nullopt;
    return replica.commit;
}

void start_read(
    replica& replica, actions& out, const read_index& read, time_point now)
{
    if (replica.role != role::leader)
        return out.emplace_back(read_failed{read.token}), void();
    if (const auto index = lease_read(replica, now))
        return out.emplace_back(read_ready{read.token, *index}), void();
    replica.reads.push_back(
        {read.token, std::max(replica.commit, replica.term_start), now});
    heartbeat(replica, out, now);
}

void complete_acked_reads(replica& replica, actions& out)
{
    const time_point acked = quorum_acked_at(replica);
    std::vector<pending_read> waiting;
    for (const pending_read& read : replica.reads)
    {
        if (read.requested_at <= acked)
            out.emplace_back(read_ready{read.token, read.index});
        else
            waiting.push_back(read);
    }
    replica.reads = std::move(waiting);
}

void fail_reads(replica& replica, actions& out)
{
    for (const pending_read& read : replica.reads)
        out.emplace_back(read_failed{read.token});
    replica.reads.clear();
}

void handle(
    replica& replica,
    actions& out,
    const node_id& from,
    const freshness_query& query,
    time_point now)
{
    if (const auto index = lease_read(replica, now))
        return send_now(out, from, freshness_answer{query.token, true, *index});
    if (replica.hard.admitted &&
        is_voter(members_of(replica), replica.options.self))
        send_now(
            out,
            from,
            freshness_answer{query.token, false, last_index(replica.log)});
}

void handle(
    replica&,
    actions& out,
    const node_id& from,
    const freshness_answer& answer,
    time_point)
{
    out.emplace_back(freshness_answered{from, answer});
}

} // namespace bergamotusher::consensus
