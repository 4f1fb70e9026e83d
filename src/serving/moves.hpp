// Handling of upstreams that leave or are lost, and of the requests that run on
// them.
//
// A request on an upstream that leaves continues there as long as possible,
// since most requests end in time at no extra cost. One that still runs shortly
// before the deadline moves as soon as routing finds another upstream. Moves
// are not charged to the retry budget.
#pragma once

#include "serving/step_scope.hpp"

namespace bergamotusher::serving
{

/// Handles an upstream's notice that it leaves, and schedules the moves of its
/// requests.
void handle(step_scope& scope, const upstream_leaves& input);
/// Handles the loss of an upstream. Unrepeatable requests stay on their
/// connection, which may still deliver the answer.
void handle(step_scope& scope, const upstream_gone& input);
/// Handles another entry's crash report.
void handle(step_scope& scope, const crash_reported& input);
void handle(step_scope& scope, const crash_acknowledged& input);

/// Moves a request off an upstream that leaves. If no other is available it
/// stays, and the move is tried again, until the upstream's deadline.
void move_request(step_scope& scope, request_state& request);

/// Judges upstream deaths, reports them to other entries and fails quarantined
/// requests.
void judge_crashes(step_scope& scope);

} // namespace bergamotusher::serving
