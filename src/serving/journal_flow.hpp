// Requests that may not be repeated, and their way through the journal.
//
// An attempt is sent only after the journal said `begun` for it. A record is
// released only when the attempt was certainly not run: it was never sent, no
// connection came about, or the upstream itself refused it.
#pragma once

#include "serving/scope.hpp"

namespace bergamotusher::serving
{

/// Asks the journal to record the current attempt.
void begin_journal(step_scope& scope, request_state& request);

/// Asks what the journal holds under the request's key, while no upstream is
/// to be had: an earlier answer can be given without one.
void probe_journal(step_scope& scope, request_state& request);

/// Takes the journal's answer.
void handle(step_scope& scope, const journal_answered& input);

/// Releases the record of an attempt that was certainly not run.
void release_record(step_scope& scope, request_state& request);

/// Gives an attempt up that the journal was asked for and that was not sent.
void give_up_unsent(step_scope& scope, request_state& request);

/// Stores the answer, if the request has a record.
void finish_record(
    step_scope& scope, request_state& request, const final_answer& answer);

} // namespace bergamotusher::serving
