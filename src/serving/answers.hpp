// What callers are told: heads, pieces, ends and errors; and the answers that
// are kept after the end, so that they can be taken up.
#pragma once

#include "serving/scope.hpp"

namespace bergamotusher::serving
{

/// Refuses a request of which nothing is kept.
void refuse(
    step_scope& scope,
    const caller_request& request,
    failure error,
    std::optional<duration> retry_after = std::nullopt);

/// Gives the connection all pieces that it has not had yet.
void emit_pieces(step_scope& scope, request_state& request);

/// Ends the request well.
void finish(step_scope& scope, request_state& request, final_answer answer);

/// Ends the request with an error; the claim is made of what is known.
void fail(
    step_scope& scope,
    request_state& request,
    failure error,
    std::optional<duration> retry_after = std::nullopt);

/// Tells the caller of an error now, while the request goes on until its
/// attempt ends.
void answer_early(step_scope& scope, request_state& request, failure error);

/// Makes `connection` the one that answers go to, from the event after
/// `last_event` on.
void attach(
    step_scope& scope,
    request_state& request,
    const request_id& connection,
    std::uint64_t last_event);

} // namespace bergamotusher::serving
