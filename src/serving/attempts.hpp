// What attempts tell: tokens, ends and failures; and what follows from them.
//
// Input of an attempt that is not current is counted and dropped, so that no
// late, repeated or crossed answer reaches a caller.
#pragma once

#include "serving/scope.hpp"

namespace bergamotusher::serving
{

/// Takes word that the attempt was handed to its connection.
void handle(step_scope& scope, const attempt_sent& input);
/// Takes the next token; one that came before is dropped, and a gap makes
/// the answer malformed.
void handle(step_scope& scope, const attempt_token& input);
/// Takes the end; it must have its mark and the length that was seen.
void handle(step_scope& scope, const attempt_finished& input);
/// Takes a failure: retry, resume, or tell the truth.
void handle(step_scope& scope, const attempt_failed& input);

/// Fails the current attempt for a reason that this entry found itself, and
/// closes its connection.
void fail_attempt(
    step_scope& scope, request_state& request, attempt_failure reason);

} // namespace bergamotusher::serving
