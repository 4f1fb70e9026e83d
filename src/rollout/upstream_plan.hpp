// Which upstreams carry a move, and which are ordered to load its version.
#pragma once

#include "rollout/version_moves.hpp"

namespace bergamotusher::rollout
{

/// Serving upstreams of `version`, suspects of the move left out.
std::vector<upstream_view> serving_of(
    const version_move& move,
    const evidence_view& view,
    const version_name& version);

/// Upstreams that carry the trial: two, or one of a small service, so that
/// the share can bring it to full load.
std::size_t trial_size(const version_move& move);

/// Upstreams of the new version that `share` of the traffic needs.
std::size_t
needed_for(const version_move& move, const move_policy& policy, double share);

/// Picks up to `count` upstreams of `version`, keeping those of `kept` that
/// still serve, and spreading the rest over failure domains.
std::vector<upstream_id> pick_spread(
    const version_move& move,
    const evidence_view& view,
    const version_name& version,
    std::size_t count,
    const std::vector<upstream_id>& kept);

/// Notes the orders that are done or were refused. True if any changed.
bool settle_orders(
    std::vector<load_order>& orders,
    const evidence_view& view,
    const move_policy& policy,
    wall_time wall);

/// At most one order that is due, new or again, so that `wanted` upstreams
/// come to run `version`; `reserve` of the others are left as they are.
/// Nothing if none is due.
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
