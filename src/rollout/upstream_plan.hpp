// Selection of the upstreams that carry a version move's share, and of those
// that are ordered to load its version.
#pragma once

#include "rollout/version_moves.hpp"

namespace bergamotusher::rollout
{

/// Serving upstreams of `version`, without the move's suspects if it is the new
/// version.
std::vector<upstream_view> serving_upstreams(
    const version_move& move,
    const evidence_view& view,
    const version_name& version);

/// Number of upstreams that carry the trial: two, or one at a small service, so
/// that the trial share can bring them to full load.
std::size_t trial_size(const version_move& move);

/// Number of upstreams of the new version that `share` of the traffic needs.
std::size_t upstreams_needed(
    const version_move& move, const move_policy& policy, double share);

/// Picks up to `count` upstreams of `version`: first those of `kept` that still
/// serve, then others spread over failure domains.
std::vector<upstream_id> pick_across_domains(
    const version_move& move,
    const evidence_view& view,
    const version_name& version,
    std::size_t count,
    const std::vector<upstream_id>& kept);

/// Removes orders that are done and schedules the retry of refused ones.
/// Returns whether any changed.
bool update_orders(
    std::vector<load_order>& orders,
    const evidence_view& view,
    const move_policy& policy,
    wall_time wall);

/// Returns at most one load order that is due, new or repeated, so that
/// `wanted` upstreams run `version`. At least `reserve` upstreams of other
/// versions are left unchanged.
std::vector<order_load> plan_orders(
    const version_move& move,
    std::vector<load_order>& orders,
    const evidence_view& view,
    const move_policy& policy,
    const version_name& version,
    std::size_t wanted,
    std::size_t reserve,
    wall_time wall);

} // namespace bergamotusher::rollout
