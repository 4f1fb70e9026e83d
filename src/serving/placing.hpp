// Placement: chooses an upstream for a request and starts its next attempt.
#pragma once

#include "serving/step_scope.hpp"

namespace bergamotusher::serving
{

/// Starts the next attempt if an upstream is available; otherwise queues,
/// delays or rejects the request.
void place_request(step_scope& scope, request_state& request);

/// Asks routing for an upstream, without those that leave or are excluded for
/// the request.
choice_result choose_upstream(step_scope& scope, request_state& request);

/// Starts an attempt on `chosen`. If the request needs a journal record, the
/// attempt is dispatched only after the journal's answer.
void start_attempt(
    step_scope& scope, request_state& request, const choice& chosen);

/// Sends the current attempt to its upstream.
void dispatch_attempt(step_scope& scope, request_state& request);

/// Cancels the current attempt and closes its connection.
void drop_current_attempt(step_scope& scope, request_state& request);

/// Delays the request by `pause`, after which `tick` places it.
void delay_request(step_scope& scope, request_state& request, duration pause);

/// Puts the request into its service's queue. A new request that never ran is
/// rejected if the queue is full.
void enqueue(step_scope& scope, request_state& request);

/// Tries to place the waiting requests of a service, in queue order.
void dispatch_waiting(step_scope& scope, const service_name& service);

} // namespace bergamotusher::serving
