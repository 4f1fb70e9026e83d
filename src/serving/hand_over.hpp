// Shutdown of an entry and hand-over of its requests to other entries.
//
// A draining entry accepts no new requests and finishes those it has. A request
// that would outlast the entry's instance is offered to a successor: delivery
// to the client stops, the successor gets everything delivered so far, and the
// client is redirected only after the successor accepts. The attempt continues
// until then, so that nothing is lost if every successor declines. A request
// with a journal record is never handed over: the record belongs to this entry,
// and only this entry can tell what became of it.
#pragma once

#include "serving/step_scope.hpp"

namespace bergamotusher::serving
{

/// Starts the shutdown and schedules the hand-overs.
void handle(step_scope& scope, const drain_started& input);
/// Accepts or declines a request offered by another entry.
void handle(step_scope& scope, const request_handed_over& input);
/// Handles the successor's answer to an offer.
void handle(step_scope& scope, const hand_over_answered& input);

/// Offers a request to the next successor.
void offer_request(step_scope& scope, request_state& request);
/// Resumes delivery after the successor declined or did not answer, and offers
/// the request to the next successor if one is left.
void keep_after_decline(step_scope& scope, request_state& request);

/// Reports once that no open request is left. Shortly before the deadline,
/// fails the requests that remain.
void check_drain(step_scope& scope);

} // namespace bergamotusher::serving
