// Rules about sets of voters: quorums, single-voter changes, and the plan
// that keeps the wanted number of live voters.
#pragma once

#include "consensus/types.hpp"

#include <optional>

namespace bergamotusher::consensus
{

/// A node that may take part, as the settings name it.
struct candidate_member
{
    node_id id;
    failure_domain domain;
};

/// The least number of `voters` voters that is a majority.
std::size_t quorum_size(std::size_t voters);

/// The least number of voters that meets every quorum of a set of `voters`,
/// and of each set that one change makes of it.
std::size_t blocking_size(std::size_t voters);

bool is_voter(const membership& members, const node_id& id);
bool is_learner(const membership& members, const node_id& id);

/// True if every quorum of `before` meets every quorum of `after`: at most one
/// voter was added or removed, and one is left.
bool is_single_change(const membership& before, const membership& after);

/// The first membership of a cluster: `wanted_voters` voters, in different
/// failure domains where possible, the rest learners. Every node with the same
/// settings computes the same.
membership initial_membership(
    std::vector<candidate_member> nodes, std::size_t wanted_voters);

/// `members` with `id` as a voter.
membership with_voter(membership members, const node_id& id);
/// `members` with `id` as a learner.
membership with_learner(membership members, const node_id& id);
/// `members` without `id`.
membership without(membership members, const node_id& id);

/// What the leader knows of one member when it plans.
struct member_health
{
    node_id id;
    failure_domain domain;
    bool voter = false;
    /// Heard from lately, admitted, and not about to go.
    bool live = false;
    /// Not admitted: its data folder is new.
    bool unadmitted = false;
    /// Holds nearly all of what is committed.
    bool caught_up = false;
};

/// The next single change towards `wanted_voters` live voters, or nothing.
/// `health` covers each member; the first one is the leader itself.
std::optional<membership> plan_repair(
    const membership& members,
    const std::vector<member_health>& health,
    std::size_t wanted_voters);

} // namespace bergamotusher::consensus
