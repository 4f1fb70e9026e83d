// The choice of an upstream for one request.
//
// Among the upstreams whose predicted first token and token gap meet the
// class's target, those that cost about the least are near equals, and of two
// of these, drawn by the request's number, the sooner one is taken. When none
// meets the target, the request goes where a slot is free, or waits, or is
// told that its time does not suffice.
#pragma once

#include "membership/directory.hpp"
#include "routing/routing_state.hpp"

#include <bergamotusher/choice.hpp>

namespace bergamotusher::routing
{

/// What is expected of one upstream for one request.
struct prediction
{
    double first_token_seconds = 0;
    double gap_seconds = 0;
    double recomputed_tokens = 0;
    /// Currency units of instance time that the request uses up.
    double cost = 0;
    /// Share of its slots in use.
    double used_share = 0;
};

/// The slots of a service that this entry may use, for admission.
struct slot_count
{
    double total = 0;
    double free = 0;
};

/// Counts the slots of the service's upstreams that serve and are not ejected.
slot_count count_slots(
    const membership::directory& dir,
    const routing_state& state,
    const service_name& name,
    time_point now);

/// Predicts what `request` would meet at the upstream.
prediction predict(
    const upstream& value,
    const upstream_estimate& estimate,
    const choice_request& request,
    time_point now);

/// The choice. Changes nothing: the caller reports a dispatch by
/// `on_dispatch`.
choice_result choose_upstream(
    const membership::directory& dir,
    const routing_state& state,
    const choice_request& request,
    time_point now);

} // namespace bergamotusher::routing
