// Gathers the departures of upstreams into changes of the replicated state, of
// which a control node has one under way at a time: many upstreams may leave
// within a second, and each sends its notice again until it is recorded.
#pragma once

#include "site/departures.hpp"

namespace bergamotusher::site
{

/// The departures that a node has been told and that are not known to be
/// recorded.
struct departure_queue
{
    /// Those of the next change.
    departure_map waiting;
    /// Those of the change that was proposed and has not ended.
    departure_map under_way;
};

/// Adds a departure to the next change unless one of the two includes it.
void enqueue(
    departure_queue& queue, const upstream_id& id, const departure& value);

/// Begins the next change and returns its departures: none if nothing waits or
/// a change is under way.
departure_map start_change(departure_queue& queue);

/// The change that was under way has ended, recorded or not.
void end_change(departure_queue& queue);

} // namespace bergamotusher::site
