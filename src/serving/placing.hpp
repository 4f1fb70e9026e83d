// Finding an upstream for a request, and starting its next attempt there.
#pragma once

#include "serving/scope.hpp"

namespace bergamotusher::serving
{

/// Starts the next attempt if an upstream can be had, else queues, holds or
/// refuses the request.
void place(step_scope& scope, request_state& request);

/// Asks routing for an upstream that does not leave and has not failed the
/// request before.
choice_result ask_routing(step_scope& scope, request_state& request);

/// Starts an attempt on `where`: through the journal if it must be.
void start_attempt(
    step_scope& scope, request_state& request, const choice& where);

/// Sends the current attempt to its upstream.
void dispatch_attempt(step_scope& scope, request_state& request);

/// Lets go of the current attempt and closes its connection.
void drop_current_attempt(step_scope& scope, request_state& request);

/// Holds the request for `pause`, then `tick` places it.
void hold(step_scope& scope, request_state& request, duration pause);

/// Puts the request into its service's queue, unless that is full.
void enqueue(step_scope& scope, request_state& request);

/// Offers free room to requests that wait, in their order.
void serve_waiting(step_scope& scope, const service_name& service);

} // namespace bergamotusher::serving
