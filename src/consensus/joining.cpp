#include "consensus/internal.hpp"

#include <algorithm>

namespace bergamotusher::consensus
{

namespace
{

/// Limits the state that answers of other nodes can create.
constexpr std::size_t max_introduced_members = 1024;

/// True if the replica has no term and no log entry.
bool is_empty(const replica& replica)
{
    return replica.hard.term == 0 && last_index(replica.log) == 0;
}

/// True if every initial voter has reported an empty data folder. Otherwise a
/// cluster may exist already, and a second one must not be founded.
bool all_initial_voters_empty(const replica& replica)
{
    const auto& voters = members_of(replica).voters;
    return std::all_of(
        voters.begin(),
        voters.end(),
        [&](const node_id& voter)
        {
            return voter == replica.options.self ||
                   replica.empty_peers.count(voter) > 0;
        });
}

/// Admits this replica without a leader if it is an initial voter of a new
/// cluster.
void found_cluster_if_ready(replica& replica, actions& out, time_point now)
{
    if (replica.options.may_bootstrap_cluster && !replica.hard.admitted &&
        is_empty(replica) &&
        is_voter(members_of(replica), replica.options.self) &&
        all_initial_voters_empty(replica))
        admit(replica, out, now);
}

} // namespace

void admit(replica& replica, actions&, time_point now)
{
    replica.hard.admitted = true;
    replica.hard_changed = true;
    replica.leader_heard_at = now;
    reset_election_timer(replica, now);
}

void join_if_due(replica& replica, actions& out, time_point now)
{
    const duration interval = replica.options.timing.heartbeat;
    if (now < replica.join_query_sent_at + interval)
        return;
    replica.join_query_sent_at = now;
    send_join_queries(replica, out);
    found_cluster_if_ready(replica, out, now);
}

void send_join_queries(const replica& replica, actions& out)
{
    std::set<node_id> targets = replica.introduced_members;
    for (const configured_node& node : replica.options.nodes)
        targets.insert(node.id);
    // The initial membership names configured nodes only.
    const membership& members = members_of(replica);
    for (const auto* ids : {&members.voters, &members.learners})
        targets.insert(ids->begin(), ids->end());
    targets.erase(replica.options.self);
    for (const node_id& target : targets)
        send_now(out, target, join_query{replica.options.storage_id});
}

void handle(
    replica& replica,
    actions& out,
    const node_id& from,
    const join_query& query,
    time_point)
{
    const membership& members = members_of(replica);
    if (replica.role == role::leader && !is_voter(members, from) &&
        !is_learner(members, from))
        replica.pending_joiners.insert(from);
    join_answer answer{query.storage_id, is_empty(replica), {}};
    // The settings of the node that asks need not name the leader.
    if (last_index(replica.log) > 0)
        for (const auto* ids : {&members.voters, &members.learners})
            answer.members.insert(
                answer.members.end(), ids->begin(), ids->end());
    send_now(out, from, answer);
}

void handle(
    replica& replica,
    actions& out,
    const node_id& from,
    const join_answer& answer,
    time_point now)
{
    if (answer.storage_id != replica.options.storage_id)
        return;
    for (const node_id& member : answer.members)
        if (replica.introduced_members.size() < max_introduced_members)
            replica.introduced_members.insert(member);
    if (!answer.empty)
        replica.empty_peers.erase(from);
    else if (replica.empty_peers.insert(from).second)
        found_cluster_if_ready(replica, out, now);
}

} // namespace bergamotusher::consensus
