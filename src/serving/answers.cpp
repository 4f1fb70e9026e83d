#include "serving/answers.hpp"

#include <algorithm>

namespace bergamotusher::serving
{

namespace
{

/// Bytes that tables and short strings take for each kept answer, roughly.
constexpr std::size_t entry_overhead = 512;

constexpr std::string_view stream_of_events = "text/event-stream";

/// While a successor decides, nothing more is given out: what it has been
/// told to be delivered must stay all that was delivered.
bool may_emit(const request_state& request)
{
    return !request.connection.empty() && !request.handing_over;
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
    const final_answer& ending = *request.ending;
    scope.actions.emplace_back(answer_error{
        request.connection,
        request.request.id,
        *ending.error,
        ending.run,
        ending.retry_after});
}

/// The body of an answer that is given in one piece.
std::string whole_body(const request_state& request)
{
    if (!request.ending->body.empty())
        return request.ending->body;
    return request.request.stream ? std::string() : request.produced.text;
}

void emit_end(step_scope& scope, request_state& request)
{
    const final_answer& ending = *request.ending;
    emit_head(scope, request, ending.status, ending.content_type);
    answer_end end;
    end.connection = request.connection;
    end.body = whole_body(request);
    end.finish_reason = ending.finish_reason;
    end.prompt_tokens = ending.prompt_tokens;
    end.answered_tokens = ending.answered_tokens;
    scope.actions.emplace_back(std::move(end));
}

void release_connection(step_scope& scope, request_state& request)
{
    scope.state.connections.erase(request.connection);
    request.connection = {};
}

/// Gives the ending to the connection, if one is there.
void emit_ending(step_scope& scope, request_state& request)
{
    if (!may_emit(request) || request.answered)
        return;
    emit_pieces(scope, request);
    if (request.ending->error)
        emit_error(scope, request);
    else
        emit_end(scope, request);
    release_connection(scope, request);
}

/// The newest answer always stays: its request is still being looked at.
void trim_kept(step_scope& scope)
{
    life_cycle& state = scope.state;
    while (state.ended.size() > 1 &&
           state.ended_bytes > state.options.limits.kept_bytes)
    {
        request_state* oldest = find_request(state, state.ended.front());
        state.ended.pop_front();
        if (oldest != nullptr && oldest->phase == request_phase::ended)
            forget(scope, *oldest);
    }
}

/// Keeps the answer, without what only an attempt needs.
void keep_ended(step_scope& scope, request_state& request)
{
    life_cycle& state = scope.state;
    // An assignment would keep the memory.
    std::string().swap(request.request.body);
    std::vector<std::uint64_t>().swap(request.prefix_blocks);
    request.produced.text.shrink_to_fit();
    request.produced.ends.shrink_to_fit();
    request.forget_at = scope.now + state.options.limits.answer_kept;
    request.kept_bytes = sizeof(request_state) + entry_overhead +
                         size_in_memory(request.produced) +
                         request.ending->body.size();
    state.ended_bytes += request.kept_bytes;
    state.ended.push_back(request.request.id);
    schedule(scope, request);
    trim_kept(scope);
}

/// Closes what is left of an attempt.
void drop_attempt(step_scope& scope, request_state& request)
{
    if (!request.attempt)
        return;
    scope.state.attempts.erase(request.attempt->id);
    if (request.attempt->dispatched)
        scope.actions.emplace_back(cancel_attempt{request.attempt->id});
    request.attempt.reset();
}

void close(step_scope& scope, request_state& request, final_answer answer)
{
    request.ending = std::move(answer);
    request.handing_over.reset();
    emit_ending(scope, request);
    drop_attempt(scope, request);
    set_phase(scope, request, request_phase::ended);
    keep_ended(scope, request);
}

std::optional<duration> advised_pause(const step_scope& scope, error_kind kind)
{
    if (answer_of(kind).retry == retry_advice::never)
        return std::nullopt;
    return scope.state.options.limits.retry_after;
}

} // namespace

void refuse(
    step_scope& scope,
    const caller_request& request,
    failure error,
    std::optional<duration> retry_after)
{
    ++scope.state.counters.refused;
    if (!retry_after)
        retry_after = advised_pause(scope, error.kind);
    record(
        scope,
        event_kind::request_refused,
        {request.id, {}, {}},
        std::string(answer_of(error.kind).name));
    scope.actions.emplace_back(answer_error{
        request.id,
        request.id,
        std::move(error),
        run_claim::not_run,
        retry_after});
}

void emit_pieces(step_scope& scope, request_state& request)
{
    if (!may_emit(request) || !request.request.stream || request.answered)
        return;
    if (request.emitted < request.produced.count())
        emit_head(scope, request, 200, stream_of_events);
    for (; request.emitted < request.produced.count(); ++request.emitted)
        scope.actions.emplace_back(answer_piece{
            request.connection,
            request.emitted + 1,
            std::string(piece_at(request.produced, request.emitted))});
}

void finish(step_scope& scope, request_state& request, final_answer answer)
{
    ++scope.state.counters.finished;
    record(
        scope,
        event_kind::request_finished,
        {request.request.id, {}, {}},
        {},
        request.produced.count());
    close(scope, request, std::move(answer));
}

void fail(
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
        retry_after ? retry_after : advised_pause(scope, error.kind);
    if (error.kind == error_kind::outcome_unknown)
        ++scope.state.counters.unknown_outcomes;
    record(
        scope,
        never_started ? event_kind::request_refused
                      : event_kind::request_failed,
        {request.request.id, {}, {}},
        std::string(answer_of(error.kind).name));
    answer.error = std::move(error);
    close(scope, request, std::move(answer));
}

void answer_early(step_scope& scope, request_state& request, failure error)
{
    final_answer answer;
    answer.run = run_claim::unknown;
    answer.retry_after = advised_pause(scope, error.kind);
    answer.error = std::move(error);
    request.ending = std::move(answer);
    emit_ending(scope, request);
    request.ending.reset();
    request.answered = true;
    ++scope.state.counters.unknown_outcomes;
}

void attach(
    step_scope& scope,
    request_state& request,
    const request_id& connection,
    std::uint64_t last_event)
{
    release_connection(scope, request);
    request.connection = connection;
    request.abandoned.reset();
    request.answered = false;
    request.head_sent = false;
    request.emitted = last_event;
    scope.state.connections[connection] = &request;
    emit_pieces(scope, request);
    if (request.ending)
        emit_ending(scope, request);
    schedule(scope, request);
}

} // namespace bergamotusher::serving
