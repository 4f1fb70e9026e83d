// Rules for sets of voters: quorums, single-voter changes, and the plan that
// maintains the wanted number of live voters. docs/design/consensus.md states
// the invariant that the plan keeps.
#pragma once

#include "consensus/types.hpp"

#include <optional>

namespace bergamotusher::consensus
{

/// A node that the settings name as a possible member.
struct configured_node
{
    node_id id;
    failure_domain domain;
};

/// The size of a majority of `voters` voters.
std::size_t quorum_size(std::size_t voters);

/// The least number of voters that intersects every quorum of a set of `voters`
/// voters, and every quorum of each set that one membership change makes of it.
std::size_t blocking_set_size(std::size_t voters);

bool is_voter(const membership& members, const node_id& id);
bool is_learner(const membership& members, const node_id& id);

/// True if every quorum of `before` intersects every quorum of `after`: at most
/// one voter was added or removed, and at least one is left.
bool is_single_change(const membership& before, const membership& after);

/// The first membership of a cluster: `wanted_voters` voters, in different
/// failure domains where possible; the rest are learners. Depends only on the
/// arguments, so that all nodes with the same settings agree.
membership initial_membership(
    std::vector<configured_node> nodes, std::size_t wanted_voters);

/// The number of voters that is maintained where every member votes.
std::size_t seat_count(const membership& members);

/// `members` with `id` as a voter; it is no longer a learner.
membership with_voter(membership members, const node_id& id);
/// `members` with `id` as a learner; it is no longer a voter.
membership with_learner(membership members, const node_id& id);
/// `members` without `id`.
membership without_member(membership members, const node_id& id);

/// State of one member, as the leader knows it, for `plan_repair`.
struct member_health
{
    node_id id;
    failure_domain domain;
    bool voter = false;
    /// Heard from recently, admitted, and not about to leave.
    bool live = false;
    /// Its data folder is new and the leader has not admitted it.
    bool unadmitted = false;
    /// Its log is at most `limits::caught_up_lag` entries behind the commit
    /// index.
    bool caught_up = false;
    /// Its instance is about to leave.
    bool leaving = false;
    /// Heard from recently, whatever its state.
    bool heard = false;
    /// Silent for `timing::member_excluded_after`.
    bool absent = false;
    /// Time since it last answered the leader.
    duration silent_for{};
    /// Time since the leader first knew it as a member.
    duration known_for{};
};

/// What repair aims for.
struct repair_goal
{
    /// The number of voters; the least number if every member votes.
    std::size_t wanted_voters = 3;
    bool every_member_votes = false;
};

/// The next single change towards the goal; nothing if none is needed or safe.
/// `health` covers every member, the leader first.
std::optional<membership> plan_repair(
    const membership& members,
    const std::vector<member_health>& health,
    const repair_goal& goal);

} // namespace bergamotusher::consensus
