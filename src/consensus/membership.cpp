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

/// The voter that satisfies `condition` and has been silent for longest; null
/// if there is none.
template<class Condition>
const member_health* longest_silent_voter(
    const std::vector<member_health>& health, Condition condition)
{
    const member_health* longest = nullptr;
    for (const member_health& member : health)
        if (member.voter && condition(member) &&
            (longest == nullptr || member.silent_for > longest->silent_for))
            longest = &member;
    return longest;
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

membership with_seats(membership members, std::size_t seats)
{
    members.seats = static_cast<std::uint32_t>(seats);
    return members;
}

/// The numbers and members on which the steps of a plan depend.
struct repair_state
{
    std::size_t voters = 0;
    std::size_t live = 0;
    /// The number of voters aimed for.
    std::size_t seats = 0;
    const member_health* lost = nullptr;
    const member_health* learner = nullptr;
};

repair_state repair_state_of(
    const membership& members,
    const std::vector<member_health>& health,
    const repair_goal& goal)
{
    repair_state state;
    state.voters = members.voters.size();
    state.live = static_cast<std::size_t>(std::count_if(
        health.begin(),
        health.end(),
        [](const member_health& member)
        { return member.voter && member.live; }));
    state.seats = goal.every_member_votes
                      ? std::max(goal.wanted_voters, seat_count(members))
                      : goal.wanted_voters;
    state.lost = longest_silent_voter(
        health, [](const member_health& member) { return !member.live; });
    state.learner = learner_to_promote(health);
    return state;
}

/// True if the live voters are a quorum without one of the others.
bool may_demote(const repair_state& state)
{
    return state.live >= quorum_size(state.voters - 1);
}

/// True if a learner is ready and the live voters are a quorum with it.
bool may_promote(const repair_state& state)
{
    return state.learner != nullptr && state.voters <= state.seats &&
           state.live + 1 >= quorum_size(state.voters + 1);
}

/// True if every voter has answered this leader.
bool all_voters_answered(const std::vector<member_health>& health)
{
    return std::all_of(
        health.begin(),
        health.end(),
        [](const member_health& member)
        { return !member.voter || member.silent_for < member.known_for; });
}

/// Makes a voter a learner that counts for no quorum, leaves, or whose seat a
/// new member has taken.
std::optional<membership> plan_demotion(
    const membership& members,
    const std::vector<member_health>& health,
    const repair_goal& goal,
    const repair_state& state)
{
    if (!may_demote(state))
        return std::nullopt;
    // Only a learner can be admitted. While the least number of voters is not
    // exceeded, a learner that is ready is promoted first.
    const member_health* unadmitted = longest_silent_voter(
        health, [](const member_health& member) { return member.unadmitted; });
    if (unadmitted != nullptr &&
        (state.voters > goal.wanted_voters || !may_promote(state)))
        return with_learner(members, unadmitted->id);
    // A member that leaves returns as a learner and is then promoted again.
    const member_health* leaving = longest_silent_voter(
        health,
        [&](const member_health& member)
        { return member.leaving && member.id != health.front().id; });
    if (goal.every_member_votes && leaving != nullptr &&
        state.voters > goal.wanted_voters)
        return with_learner(members, leaving->id);
    if (state.voters <= state.seats)
        return std::nullopt;
    if (state.lost != nullptr)
        return with_learner(members, state.lost->id);
    if (!goal.every_member_votes)
        return with_learner(members, voter_to_demote(health)->id);
    // The lost voter has returned before it was demoted: all of them stay.
    if (all_voters_answered(health))
        return with_seats(members, state.voters);
    return std::nullopt;
}

/// True if every voter has answered since the leader knew `learner`, so that
/// `learner` is not the successor of one that has just been removed.
bool all_voters_heard_since(
    const std::vector<member_health>& health, const member_health& learner)
{
    return std::all_of(
        health.begin(),
        health.end(),
        [&](const member_health& member)
        { return !member.voter || member.silent_for < learner.known_for; });
}

/// Promotes a learner to a vacant seat, to that of a lost voter, or, where
/// every member votes, to a new one. A lost voter is demoted only after that,
/// since until then its vote counts if it returns.
std::optional<membership> plan_promotion(
    const membership& members,
    const std::vector<member_health>& health,
    const repair_goal& goal,
    const repair_state& state)
{
    if (!may_promote(state))
        return std::nullopt;
    membership promoted = with_voter(members, state.learner->id);
    if (state.voters < state.seats || state.lost != nullptr)
        return promoted;
    if (goal.every_member_votes &&
        all_voters_heard_since(health, *state.learner))
        return with_seats(std::move(promoted), state.seats + 1);
    return std::nullopt;
}

/// Gives up the seat of a voter that is absent, and vacant seats for which no
/// learner is heard from.
std::optional<membership> plan_seats(
    const membership& members,
    const std::vector<member_health>& health,
    const repair_goal& goal,
    const repair_state& state)
{
    const member_health* absent = longest_silent_voter(
        health, [](const member_health& member) { return member.absent; });
    if (absent != nullptr && state.voters > goal.wanted_voters &&
        may_demote(state))
        return with_learner(with_seats(members, state.seats - 1), absent->id);
    const auto candidates = static_cast<std::size_t>(std::count_if(
        health.begin(),
        health.end(),
        [](const member_health& member)
        { return !member.voter && member.heard; }));
    const std::size_t filled =
        std::max(goal.wanted_voters, state.voters + candidates);
    if (state.seats > filled)
        return with_seats(members, filled);
    return std::nullopt;
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

std::size_t seat_count(const membership& members)
{
    return members.seats == 0 ? members.voters.size() : members.seats;
}

std::optional<membership> plan_repair(
    const membership& members,
    const std::vector<member_health>& health,
    const repair_goal& goal)
{
    const repair_state state = repair_state_of(members, health, goal);
    // Stored memberships may have no seats yet.
    const membership present =
        goal.every_member_votes ? with_seats(members, state.seats) : members;
    if (auto planned = plan_demotion(present, health, goal, state))
        return planned;
    if (auto planned = plan_promotion(present, health, goal, state))
        return planned;
    return goal.every_member_votes ? plan_seats(present, health, goal, state)
                                   : std::nullopt;
}

} // namespace bergamotusher::consensus
