// Journal protocol for requests that must not be repeated.
//
// An attempt is dispatched only after the journal answered `begun` for it. A
// record is released only if the attempt certainly did not run: it was never
// sent, no connection was established, or the upstream refused it.
#pragma once

#include "serving/step_scope.hpp"

namespace bergamotusher::serving
{

/// Asks the journal to record the current attempt.
void request_record(step_scope& scope, request_state& request);

/// Asks the journal about the request's key while no upstream is available: a
/// stored answer can be returned without one.
void probe_journal(step_scope& scope, request_state& request);

/// Handles the journal's answer.
void handle(step_scope& scope, const journal_answered& input);

/// Releases the record of an attempt that certainly did not run.
void release_record(step_scope& scope, request_state& request);

/// Abandons an attempt that the journal was asked to record and that was not
/// dispatched.
void abandon_unsent_attempt(step_scope& scope, request_state& request);

/// Stores the answer in the request's journal record, if there is one.
void finish_record(
    step_scope& scope, request_state& request, const final_answer& answer);

} // namespace bergamotusher::serving
