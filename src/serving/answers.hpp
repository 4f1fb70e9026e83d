// Answers to clients: heads, streamed pieces, ends and errors, and the
// retention of ended answers so that clients can reattach.
#pragma once

#include "serving/step_scope.hpp"

namespace bergamotusher::serving
{

/// Rejects a request and keeps no state for it.
void reject_request(
    step_scope& scope,
    const caller_request& request,
    failure error,
    std::optional<duration> retry_after = std::nullopt);

/// Sends the connection all pieces that it has not received yet.
void emit_pieces(step_scope& scope, request_state& request);

/// Ends the request with an answer.
void finish_request(
    step_scope& scope, request_state& request, final_answer answer);

/// Ends the request with an error. Whether it may have run is derived from its
/// state (`claim_of`). The error is held back while other entries have not
/// noted a crash report about the request: its client could overtake the report
/// with a retry at one of them.
void fail_request(
    step_scope& scope,
    request_state& request,
    failure error,
    std::optional<duration> retry_after = std::nullopt);

/// Ends a request with the error that was held back.
void send_held_error(step_scope& scope, request_state& request);

/// Sends the client an error while the attempt continues until it ends.
void send_early_error(step_scope& scope, request_state& request, failure error);

/// Directs the answer to `connection`, starting with the event after
/// `last_event`.
void attach_connection(
    step_scope& scope,
    request_state& request,
    const request_id& connection,
    std::uint64_t last_event);

} // namespace bergamotusher::serving
