// Which upstreams of a large service one entry uses.
//
// Each entry takes a part of them by rendezvous hashing, spread over the
// failure domains in proportion, so that no entry hears of all of them and a
// lost failure domain takes no entry's whole part.
#pragma once

#include "membership/directory.hpp"
#include "routing/routing_state.hpp"

#include <bergamotusher/ids.hpp>

namespace bergamotusher::routing
{

/// Most upstreams of one service that an entry uses.
inline constexpr std::size_t subset_size = 48;

/// The upstreams of `name` that `self` uses, in a fixed order.
std::vector<upstream_id> subset_of(
    const membership::directory& dir,
    const service_name& name,
    const node_id& self,
    std::size_t size = subset_size);

/// Renews all subsets and the roster in `state`; to be called when the
/// directory's `generation` has changed or an upstream was lost.
void refresh_subsets(
    routing_state& state,
    const membership::directory& dir,
    const node_id& self);

} // namespace bergamotusher::routing
