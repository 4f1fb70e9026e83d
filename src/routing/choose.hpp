// Choice of an upstream for one request.
//
// Candidates are the upstreams whose predicted first-token latency and token
// gap meet the target of the request's class. Of those within a small factor of
// the lowest cost, two are picked by the request's random draw, and the one
// with the lower predicted first-token latency is chosen. If none meets the
// target, the request goes to an upstream with a free slot; failing that, the
// caller is told to wait, or that the time left is too short.
#pragma once

#include "membership/directory.hpp"
#include "routing/routing_state.hpp"

#include <bergamotusher/choice.hpp>

namespace bergamotusher::routing
{

/// Predicted latency and cost of one request on one upstream.
struct prediction
{
    double first_token_seconds = 0;
    double gap_seconds = 0;
    double recomputed_tokens = 0;
    /// Price of the instance time that the request uses, in currency units.
    double cost = 0;
    /// Running and queued requests over slots; above 1 if requests queue.
    double slot_utilisation = 0;
};

/// Slots of a service that this entry may use; input to admission.
struct slot_count
{
    double total = 0;
    double free = 0;
};

/// Counts the slots of the service's serving upstreams that are not ejected.
slot_count count_slots(
    const membership::directory& dir,
    const routing_state& state,
    const service_name& name,
    time_point now);

/// Predicts latency and cost of `request` on the upstream.
prediction predict(
    const upstream& value,
    const upstream_estimate& estimate,
    const choice_request& request,
    time_point now);

/// Chooses an upstream. Does not change the state: the caller reports a
/// dispatch by `on_dispatch`.
choice_result choose_upstream(
    const membership::directory& dir,
    const routing_state& state,
    const choice_request& request,
    time_point now);

} // namespace bergamotusher::routing
