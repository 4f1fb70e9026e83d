// Upstreams that leave or are gone, and the requests that run on them.
//
// A request on a leaving upstream goes on in place as long as it can: most end
// by themselves and cost nothing. One still running shortly before the
// deadline moves, as soon as routing has another upstream for it. Moves are
// not charged to the retry budget.
#pragma once

#include "serving/scope.hpp"

namespace bergamotusher::serving
{

/// Takes notice that an upstream leaves.
void handle(step_scope& scope, const upstream_leaves& input);
/// Takes the loss of an upstream. What may not be repeated stays with its
/// connection, which may still give the answer.
void handle(step_scope& scope, const upstream_gone& input);
/// Takes another entry's report of a crash.
void handle(step_scope& scope, const crash_reported& input);

/// Moves a request off its leaving upstream, if another is to be had.
void move_request(step_scope& scope, request_state& request);

/// Judges deaths and carries out what the verdicts ask for.
void judge_crashes(step_scope& scope);

} // namespace bergamotusher::serving
