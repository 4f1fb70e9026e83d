// Subset of a large service's upstreams that one entry uses.
//
// Each entry selects its subset by rendezvous hashing, in proportion from each
// failure domain. No entry has to track all upstreams, and the loss of one
// failure domain does not remove an entry's whole subset.
#pragma once

#include "membership/directory.hpp"
#include "routing/routing_state.hpp"

#include <bergamotusher/ids.hpp>

namespace bergamotusher::routing
{

/// Target size of a subset; services with at most this many upstreams are used
/// whole. Rounding up for each failure domain may add a few.
inline constexpr std::size_t subset_size = 48;

/// The upstreams of service `name` that the entry `self` uses, in a fixed
/// order.
std::vector<upstream_id> select_subset(
    const membership::directory& dir,
    const service_name& name,
    const node_id& self,
    std::size_t size = subset_size);

/// Rebuilds all subsets and the roster in `state`. Call it when the directory's
/// `generation` has changed or an upstream was lost.
void refresh_subsets(
    routing_state& state,
    const membership::directory& dir,
    const node_id& self);

} // namespace bergamotusher::routing
