#include "consensus/membership.hpp"

#include <algorithm>
#include <set>

namespace bergamotusher::consensus
{

namespace
{

bool contains(const std::vector<node_id>& ids, const node_id& id)
{
    return std::find(ids.begin(), ids.end(), id) != ids.end();
}

void erase(std::vector<node_id>& ids, const node_id& id)
{
    ids.erase(std::remove(ids.begin(), ids.end(), id), ids.end());
}

std::size_t count_missing(
    const std::vector<node_id>& ids, const std::vector<node_id>& others)
{
    return static_cast<std::size_t>(std::count_if(
        ids.begin(),
        ids.end(),
        [&](const node_id& id) { return !contains(others, id); }));
}

/// The number of live voters in `domain`.
std::size_t live_voters_in(
    const std::vector<member_health>& health, const failure_domain& domain)
{
    return static_cast<std::size_t>(std::count_if(
        health.begin(),
        health.end(),
        [&](const member_health& member)
        { return member.voter && member.live && member.domain == domain; }));
}

const member_health* lost_voter(const std::vector<member_health>& health)
{
    for (const member_health& member : health)
        if (member.voter && !member.live)
            return &member;
    return nullptr;
}

/// The live, caught-up learner whose failure domain has the fewest live voters;
/// null if there is none.
const member_health*
learner_to_promote(const std::vector<member_health>& health)
{
    const member_health* best = nullptr;
    for (const member_health& member : health)
    {
        if (member.voter || !member.live || !member.caught_up)
            continue;
        if (best == nullptr || live_voters_in(health, member.domain) <
                                   live_voters_in(health, best->domain))
            best = &member;
    }
    return best;
}

/// The voter to demote if there are too many: not the leader, and one in the
/// failure domain with the most live voters.
const member_health* voter_to_demote(const std::vector<member_health>& health)
{
    const member_health* worst = nullptr;
    for (auto i = health.begin() + 1; i != health.end(); ++i)
    {
        if (!i->voter)
            continue;
        if (worst == nullptr || live_voters_in(health, i->domain) >=
                                    live_voters_in(health, worst->domain))
            worst = &*i;
    }
    return worst;
}

} // namespace

std::size_t quorum_size(std::size_t voters)
{
    return voters / 2 + 1;
}

std::size_t blocking_set_size(std::size_t voters)
{
    if (voters <= 1)
        return voters;
    // A quorum of the set with one voter more may contain the added voter; its
    // other members are all in the present set.
    const std::size_t after_add = voters - (quorum_size(voters + 1) - 1) + 1;
    const std::size_t after_removal = voters - quorum_size(voters - 1) + 1;
    return std::max(after_add, after_removal);
}

bool is_voter(const membership& members, const node_id& id)
{
    return contains(members.voters, id);
}

bool is_learner(const membership& members, const node_id& id)
{
    return contains(members.learners, id);
}

bool is_single_change(const membership& before, const membership& after)
{
    const std::size_t added = count_missing(after.voters, before.voters);
    const std::size_t removed = count_missing(before.voters, after.voters);
    return !after.voters.empty() && added + removed <= 1;
}

membership initial_membership(
    std::vector<configured_node> nodes, std::size_t wanted_voters)
{
    std::sort(
        nodes.begin(),
        nodes.end(),
        [](const configured_node& a, const configured_node& b)
        { return a.id.value < b.id.value; });
    membership members;
    std::set<failure_domain> domains;
    for (const configured_node& node : nodes)
        if (members.voters.size() < wanted_voters &&
            domains.insert(node.domain).second)
            members.voters.push_back(node.id);
    for (const configured_node& node : nodes)
    {
        if (is_voter(members, node.id))
            continue;
        if (members.voters.size() < wanted_voters)
            members.voters.push_back(node.id);
        else
            members.learners.push_back(node.id);
    }
    return members;
}

membership with_voter(membership members, const node_id& id)
{
    members = without_member(std::move(members), id);
    members.voters.push_back(id);
    return members;
}

membership with_learner(membership members, const node_id& id)
{
    members = without_member(std::move(members), id);
    members.learners.push_back(id);
    return members;
}

membership without_member(membership members, const node_id& id)
{
    erase(members.voters, id);
    erase(members.learners, id);
    return members;
}

std::optional<membership> plan_repair(
    const membership& members,
    const std::vector<member_health>& health,
    std::size_t wanted_voters)
{
    const member_health* lost = lost_voter(health);
    const member_health* learner = learner_to_promote(health);
    const auto live = static_cast<std::size_t>(std::count_if(
        health.begin(),
        health.end(),
        [](const member_health& member)
        { return member.voter && member.live; }));
    const std::size_t voters = members.voters.size();
    // Promote before demoting a lost voter, so that its vote still counts if it
    // returns.
    if (learner != nullptr && live < wanted_voters && voters <= wanted_voters &&
        live + 1 >= quorum_size(voters + 1))
        return with_voter(members, learner->id);
    if (lost != nullptr && live >= quorum_size(voters - 1) &&
        (voters > wanted_voters || lost->unadmitted))
        return with_learner(members, lost->id);
    if (lost == nullptr && voters > wanted_voters)
        return with_learner(members, voter_to_demote(health)->id);
    return std::nullopt;
}

} // namespace bergamotusher::consensus
