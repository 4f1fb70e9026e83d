#include "serving/answers.hpp"

#include <algorithm>

namespace bergamotusher::serving
{

namespace
{

/// Approximate bytes that index entries and short strings take for each
/// retained answer.
constexpr std::size_t retained_answer_overhead = 512;

constexpr std::string_view event_stream_type = "text/event-stream";

/// Nothing is sent while another entry decides on a hand-over: the delivered
/// text in the offer must stay all that the client received.
bool may_emit(const request_state& request)
{
    return !request.connection.empty() && !request.pending_offer;
}

void emit_head(
    step_scope& scope,
    request_state& request,
    int status,
    std::string_view content_type)
{
    if (request.head_sent)
        return;
    request.head_sent = true;
    answer_head head;
    head.connection = request.connection;
    head.request = request.request.id;
    head.status = status;
    head.content_type = content_type;
    head.stream = request.request.stream;
    scope.actions.emplace_back(std::move(head));
}

void emit_error(step_scope& scope, request_state& request)
{
    const final_answer& outcome = *request.outcome;
    scope.actions.emplace_back(answer_error{
        request.connection,
        request.request.id,
        *outcome.error,
        outcome.run,
        outcome.retry_after});
}

/// Returns the body of an answer that is not streamed to the client.
std::string single_body(const request_state& request)
{
    if (!request.outcome->body.empty())
        return request.outcome->body;
    return request.request.stream ? std::string() : request.produced.text;
}

void emit_end(step_scope& scope, request_state& request)
{
    const final_answer& outcome = *request.outcome;
    emit_head(scope, request, outcome.status, outcome.content_type);
    answer_end end;
    end.connection = request.connection;
    end.body = single_body(request);
    end.finish_reason = outcome.finish_reason;
    end.prompt_tokens = outcome.prompt_tokens;
    end.answered_tokens = outcome.answered_tokens;
    scope.actions.emplace_back(std::move(end));
}

void release_connection(step_scope& scope, request_state& request)
{
    scope.state.connections.erase(request.connection);
    request.connection = {};
}

/// Sends the final result to the client, if one is connected.
void emit_outcome(step_scope& scope, request_state& request)
{
    if (!may_emit(request) || request.caller_answered)
        return;
    emit_pieces(scope, request);
    if (request.outcome->error)
        emit_error(scope, request);
    else
        emit_end(scope, request);
    release_connection(scope, request);
}

/// Evicts retained answers, oldest first, down to the memory limit. The newest
/// one always stays because the calling function still uses its request.
void evict_oldest_answers(step_scope& scope)
{
    life_cycle& state = scope.state;
    while (state.retained_requests.size() > 1 &&
           state.total_retained_bytes > state.options.limits.max_retained_bytes)
    {
        request_state* oldest =
            find_request(state, state.retained_requests.front());
        state.retained_requests.pop_front();
        if (oldest != nullptr && oldest->phase == request_phase::ended)
            erase_request(scope, *oldest);
    }
}

/// Retains the answer and frees what only attempts need.
void retain_answer(step_scope& scope, request_state& request)
{
    life_cycle& state = scope.state;
    // Assigning an empty value would not free the capacity.
    std::string().swap(request.request.body);
    std::vector<std::uint64_t>().swap(request.prefix_blocks);
    request.produced.text.shrink_to_fit();
    request.produced.ends.shrink_to_fit();
    request.expires_at = scope.now + state.options.limits.answer_retention;
    request.retained_bytes = sizeof(request_state) + retained_answer_overhead +
                             size_in_memory(request.produced) +
                             request.outcome->body.size();
    state.total_retained_bytes += request.retained_bytes;
    state.retained_requests.push_back(request.request.id);
    reschedule(scope, request);
    evict_oldest_answers(scope);
}

/// Cancels the current attempt, if there is one.
void close_attempt(step_scope& scope, request_state& request)
{
    if (!request.attempt)
        return;
    scope.state.attempts.erase(request.attempt->id);
    if (request.attempt->dispatched)
        scope.actions.emplace_back(cancel_attempt{request.attempt->id});
    request.attempt.reset();
}

void end_request(step_scope& scope, request_state& request, final_answer answer)
{
    request.outcome = std::move(answer);
    request.pending_offer.reset();
    emit_outcome(scope, request);
    close_attempt(scope, request);
    set_phase(scope, request, request_phase::ended);
    retain_answer(scope, request);
}

std::optional<duration>
default_retry_after(const step_scope& scope, error_kind kind)
{
    if (error_answer_for(kind).retry == retry_advice::never)
        return std::nullopt;
    return scope.state.options.limits.retry_after;
}

void end_with_error(
    step_scope& scope,
    request_state& request,
    failure error,
    std::optional<duration> retry_after)
{
    const bool never_started = request.attempts_started == 0;
    ++(never_started ? scope.state.counters.refused
                     : scope.state.counters.failed);
    final_answer answer;
    answer.run = claim_of(request);
    answer.retry_after =
        retry_after ? retry_after : default_retry_after(scope, error.kind);
    if (error.kind == error_kind::outcome_unknown)
        ++scope.state.counters.unknown_outcomes;
    record(
        scope,
        never_started ? event_kind::request_refused
                      : event_kind::request_failed,
        {request.request.id, {}, {}},
        std::string(error_answer_for(error.kind).name));
    answer.error = std::move(error);
    end_request(scope, request, std::move(answer));
}

void hold_error(
    step_scope& scope,
    request_state& request,
    failure error,
    std::optional<duration> retry_after)
{
    request.may_have_run = claim_of(request) == run_claim::unknown;
    request.pending_offer.reset();
    close_attempt(scope, request);
    request.held = held_error{std::move(error), retry_after};
    set_phase(scope, request, request_phase::failing);
    request.retry_at = scope.now + acknowledgement_timeout;
    reschedule(scope, request);
}

} // namespace

void reject_request(
    step_scope& scope,
    const caller_request& request,
    failure error,
    std::optional<duration> retry_after)
{
    ++scope.state.counters.refused;
    if (!retry_after)
        retry_after = default_retry_after(scope, error.kind);
    record(
        scope,
        event_kind::request_refused,
        {request.id, {}, {}},
        std::string(error_answer_for(error.kind).name));
    scope.actions.emplace_back(answer_error{
        request.id,
        request.id,
        std::move(error),
        run_claim::not_run,
        retry_after});
}

void emit_pieces(step_scope& scope, request_state& request)
{
    if (!may_emit(request) || !request.request.stream ||
        request.caller_answered)
        return;
    if (request.emitted < request.produced.count())
        emit_head(scope, request, 200, event_stream_type);
    for (; request.emitted < request.produced.count(); ++request.emitted)
        scope.actions.emplace_back(answer_piece{
            request.connection,
            request.emitted + 1,
            std::string(piece_at(request.produced, request.emitted))});
}

void finish_request(
    step_scope& scope, request_state& request, final_answer answer)
{
    ++scope.state.counters.finished;
    record(
        scope,
        event_kind::request_finished,
        {request.request.id, {}, {}},
        {},
        request.produced.count());
    end_request(scope, request, std::move(answer));
}

void fail_request(
    step_scope& scope,
    request_state& request,
    failure error,
    std::optional<duration> retry_after)
{
    // A process that stops soon may not be able to send a held error.
    const bool may_hold = error.kind != error_kind::draining;
    if (request.phase == request_phase::failing)
    {
        if (!may_hold)
            send_held_error(scope, request);
        return;
    }
    if (may_hold &&
        awaits_acknowledgement(
            scope.state.crash_reports, request.fingerprint, scope.now))
        return hold_error(scope, request, std::move(error), retry_after);
    end_with_error(scope, request, std::move(error), retry_after);
}

void send_held_error(step_scope& scope, request_state& request)
{
    held_error held = std::move(*request.held);
    request.held.reset();
    end_with_error(scope, request, std::move(held.error), held.retry_after);
}

void send_early_error(step_scope& scope, request_state& request, failure error)
{
    final_answer answer;
    answer.run = run_claim::unknown;
    answer.retry_after = default_retry_after(scope, error.kind);
    answer.error = std::move(error);
    request.outcome = std::move(answer);
    emit_outcome(scope, request);
    request.outcome.reset();
    request.caller_answered = true;
    ++scope.state.counters.unknown_outcomes;
}

void attach_connection(
    step_scope& scope,
    request_state& request,
    const request_id& connection,
    std::uint64_t last_event)
{
    release_connection(scope, request);
    request.connection = connection;
    request.disconnected_at.reset();
    request.caller_answered = false;
    request.head_sent = false;
    request.emitted = last_event;
    scope.state.connections[connection] = &request;
    emit_pieces(scope, request);
    if (request.outcome)
        emit_outcome(scope, request);
    reschedule(scope, request);
}

} // namespace bergamotusher::serving
