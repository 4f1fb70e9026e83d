// An entry that shuts down, and the requests that it hands to other entries.
//
// A draining entry takes no new requests and ends those it has. What would
// outlast its instance goes to a successor: delivery to the caller stops, the
// successor is told all that was delivered, and only when it has the request
// is the caller sent there. Until then the attempt goes on, so that nothing
// is lost if no successor takes it. A request with a record in the journal is
// never handed over: its record belongs to this entry, which alone can say
// what became of it.
#pragma once

#include "serving/scope.hpp"

namespace bergamotusher::serving
{

/// Starts the shutdown.
void handle(step_scope& scope, const drain_started& input);
/// Takes a request of another entry over, or declines.
void handle(step_scope& scope, const request_handed_over& input);
/// Takes the successor's answer.
void handle(step_scope& scope, const hand_over_answered& input);

/// Offers a request to the next successor.
void offer_request(step_scope& scope, request_state& request);
/// The successor did not take the request: deliver and go on here.
void take_back(step_scope& scope, request_state& request);

/// Says so once when nothing is left, and tells the truth to those that are
/// left when the instance is about to go.
void check_drain(step_scope& scope);

} // namespace bergamotusher::serving
