#include "consensus/internal.hpp"

#include <algorithm>

namespace bergamotusher::consensus
{

namespace
{

bool is_empty(const replica& replica)
{
    return replica.hard.term == 0 && last_index(replica.log) == 0;
}

/// A first cluster forms only if every initial voter's folder is empty.
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

void found_cluster(replica& replica, actions& out, time_point now)
{
    if (replica.options.may_found && !replica.hard.admitted &&
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
    replica.heard_at = now;
    reset_election(replica, now);
}

void ask_to_join(replica& replica, actions& out, time_point now)
{
    const duration interval = replica.options.timing.heartbeat;
    if (now < replica.joined_query_at + interval)
        return;
    replica.joined_query_at = now;
    for (const candidate_member& node : replica.options.nodes)
        if (node.id != replica.options.self)
            emit(out, node.id, join_query{replica.options.storage_id});
    found_cluster(replica, out, now);
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
        replica.applicants.insert(from);
    emit(out, from, join_answer{query.storage_id, is_empty(replica)});
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
    if (!answer.empty)
        replica.empty_peers.erase(from);
    else if (replica.empty_peers.insert(from).second)
        found_cluster(replica, out, now);
}

} // namespace bergamotusher::consensus
