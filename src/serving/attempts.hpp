// Handling of input from attempts: tokens, ends and failures.
//
// Input of an attempt that is not current is counted and dropped, so that no
// late, duplicate or misdirected answer reaches a client.
#pragma once

#include "serving/step_scope.hpp"

namespace bergamotusher::serving
{

/// Handles that the whole request was written to the upstream's connection.
void handle(step_scope& scope, const attempt_sent& input);
/// Handles a token. A duplicate is dropped; a gap makes the answer malformed.
void handle(step_scope& scope, const attempt_token& input);
/// Handles the end of an answer. The answer is malformed if it has no end mark
/// or its length differs from the tokens received.
void handle(step_scope& scope, const attempt_finished& input);
/// Handles a failure: retries or resumes the request, or fails it with a
/// statement of whether it may have run.
void handle(step_scope& scope, const attempt_failed& input);

/// Fails the current attempt for a reason that this entry detected, and closes
/// its connection.
void fail_attempt(
    step_scope& scope, request_state& request, attempt_failure reason);

} // namespace bergamotusher::serving
