#include "serving/attempts.hpp"

#include "serving/answers.hpp"
#include "serving/journal_flow.hpp"
#include "serving/placing.hpp"

namespace bergamotusher::serving
{

namespace
{

/// Lowest HTTP status that is an error.
constexpr int first_error_status = 400;
/// Finish reason when the token limit was reached.
constexpr std::string_view reason_length = "length";

request_state* find_current(step_scope& scope, const attempt_id& attempt)
{
    const auto found = scope.state.attempts.find(attempt);
    if (found != scope.state.attempts.end() &&
        found->second->attempt->dispatched)
        return found->second;
    ++scope.state.counters.late_inputs;
    return nullptr;
}

void record_dropped_answer(step_scope& scope, const attempt_id& attempt)
{
    record(scope, event_kind::answer_dropped, {{}, attempt, {}});
}

attempt_observed
observation_of(const step_scope& scope, const request_state& request)
{
    const running_attempt& attempt = *request.attempt;
    attempt_observed seen;
    seen.target = attempt.target.id;
    seen.key.service = request.request.service;
    seen.key.version = attempt.target.version;
    seen.key.route = request.route;
    seen.recomputed_tokens = attempt.recomputed_tokens;
    seen.answered_tokens = static_cast<std::uint32_t>(attempt.next_index);
    if (request.request.kind == upstream_kind::plain)
        seen.first_token = scope.now - attempt.started;
    if (!attempt.first_token)
        return seen;
    seen.first_token = *attempt.first_token - attempt.started;
    if (attempt.next_index > 1)
        seen.mean_gap = (attempt.last_progress - *attempt.first_token) /
                        static_cast<std::int64_t>(attempt.next_index - 1);
    return seen;
}

void observe_failure(
    step_scope& scope, const request_state& request, attempt_failure reason)
{
    attempt_observed seen = observation_of(scope, request);
    seen.failure = reason;
    if (!request.attempt->first_token)
        seen.first_token.reset();
    scope.actions.emplace_back(std::move(seen));
}

void observe_end(
    step_scope& scope,
    const request_state& request,
    const attempt_finished& input)
{
    attempt_observed seen = observation_of(scope, request);
    seen.cached_tokens = input.cached_tokens;
    if (input.answered_tokens > 0)
        seen.answered_tokens = input.answered_tokens;
    scope.actions.emplace_back(std::move(seen));
}

/// Whether it is certain that the upstream did not run the request: only a
/// refusal before the first token shows that.
bool certainly_not_run(const request_state& request, attempt_failure reason)
{
    const bool refused_before_run =
        reason == attempt_failure::connection_refused ||
        reason == attempt_failure::refused;
    return refused_before_run && request.attempt->next_index == 0;
}

void note_crash(
    step_scope& scope, const request_state& request, attempt_failure reason)
{
    const running_attempt& attempt = *request.attempt;
    const choice& target = attempt.target;
    const bool refused = reason == attempt_failure::connection_refused;
    quarantine_state& crashes = scope.state.crash_evidence;
    if (reason == attempt_failure::broken || (refused && attempt.sent))
        note_connection_broken(
            crashes, target.id, target.domain, request.fingerprint, scope.now);
    if (refused)
        note_connection_refused(crashes, target.id, scope.now);
}

/// A refused connection proves nothing if the request was already written to an
/// earlier connection; it then counts as a broken connection.
attempt_failure
effective_reason(const request_state& request, attempt_failure reason)
{
    const bool sent_before_refusal =
        reason == attempt_failure::connection_refused && request.attempt->sent;
    return sent_before_refusal ? attempt_failure::broken : reason;
}

failure error_for(attempt_failure reason)
{
    switch (reason)
    {
    case attempt_failure::connection_refused:
    case attempt_failure::refused:
        return {error_kind::upstream_refused, {}};
    case attempt_failure::malformed:
        return {error_kind::malformed_answer, {}};
    default:
        return {error_kind::upstream_failed, std::string(to_name(reason))};
    }
}

/// Whether the client's token limit has already been reached.
bool reached_limit(const request_state& request)
{
    return request.max_tokens > 0 &&
           request.produced.count() >= request.max_tokens;
}

final_answer limit_answer(const request_state& request)
{
    final_answer answer;
    answer.finish_reason = reason_length;
    answer.prompt_tokens = request.prompt_tokens;
    answer.answered_tokens =
        static_cast<std::uint32_t>(request.produced.count());
    return answer;
}

/// Continues on another upstream without a charge to the retry budget: the
/// upstream had given notice, so its end is lost capacity and not a failure.
void move_uncharged(step_scope& scope, request_state& request)
{
    ++scope.state.counters.moves;
    request.next_is_retry = false;
    place_request(scope, request);
}

void retry_or_fail(
    step_scope& scope, request_state& request, attempt_failure reason)
{
    if (reached_limit(request))
        return finish_request(scope, request, limit_answer(request));
    if (scope.state.leaving.contains(request.failed_upstream))
        return move_uncharged(scope, request);
    const bool attempts_exhausted =
        ++request.charged_attempts >= scope.state.options.limits.max_attempts;
    if (attempts_exhausted || request.retry_percent == 0)
        return fail_request(scope, request, error_for(reason));
    request.next_is_retry = true;
    place_request(scope, request);
}

/// Decides on a failed attempt of a request that must not be repeated.
void resolve_unrepeatable_failure(
    step_scope& scope,
    request_state& request,
    attempt_failure reason,
    bool not_run)
{
    if (not_run)
        release_record(scope, request);
    if (request.caller_answered)
        return fail_request(scope, request, error_for(reason));
    if (not_run || (request.deduplicates && request.produced.count() == 0))
        return retry_or_fail(scope, request, reason);
    fail_request(
        scope,
        request,
        {error_kind::outcome_unknown, std::string(to_name(reason))});
}

void resolve_failure(
    step_scope& scope, request_state& request, attempt_failure reported)
{
    note_crash(scope, request, reported);
    const attempt_failure reason = effective_reason(request, reported);
    const bool not_run = certainly_not_run(request, reason);
    const choice target = request.attempt->target;
    observe_failure(scope, request, reason);
    record(
        scope,
        event_kind::attempt_failed,
        {request.request.id, request.attempt->id, target.id},
        std::string(to_name(reason)));
    scope.state.attempts.erase(request.attempt->id);
    request.attempt.reset();
    request.move_at.reset();
    request.last_failure = reason;
    request.may_have_run = request.may_have_run || !not_run;
    request.failed_upstream = target.id;
    request.excluded_upstreams.push_back(target.id);
    request.avoided_domains.push_back(target.domain);
    if (reason == attempt_failure::malformed)
        ++scope.state.counters.malformed_answers;
    if (needs_journal(request))
        resolve_unrepeatable_failure(scope, request, reason, not_run);
    else
        retry_or_fail(scope, request, reason);
}

/// Whether the answer is complete: an engine's answer needs a finish reason and
/// as many pieces as were received; an error must come before any piece.
bool is_complete(const request_state& request, const attempt_finished& input)
{
    if (request.request.kind != upstream_kind::engine)
        return true;
    if (input.status >= first_error_status)
        return request.produced.count() == 0;
    if (input.pieces && *input.pieces != request.attempt->next_index)
        return false;
    return !input.finish_reason.empty();
}

final_answer
answer_of_attempt(const request_state& request, const attempt_finished& input)
{
    const std::uint64_t earlier_tokens =
        request.produced.count() - request.attempt->next_index;
    final_answer answer;
    answer.status = input.status;
    answer.content_type = input.content_type;
    answer.body = input.body;
    answer.finish_reason = input.finish_reason;
    answer.prompt_tokens =
        input.prompt_tokens > earlier_tokens
            ? input.prompt_tokens - static_cast<std::uint32_t>(earlier_tokens)
            : 0;
    answer.answered_tokens =
        input.answered_tokens + static_cast<std::uint32_t>(earlier_tokens);
    return answer;
}

} // namespace

void handle(step_scope& scope, const attempt_sent& input)
{
    request_state* request = find_current(scope, input.attempt);
    if (request == nullptr)
        return;
    request->attempt->sent = true;
    request->attempt->last_progress = scope.now;
}

void handle(step_scope& scope, const attempt_token& input)
{
    request_state* request = find_current(scope, input.attempt);
    if (request == nullptr)
        return;
    running_attempt& attempt = *request->attempt;
    if (input.index < attempt.next_index)
    {
        ++scope.state.counters.duplicate_tokens;
        return;
    }
    if (input.index > attempt.next_index)
        return fail_attempt(scope, *request, attempt_failure::malformed);
    ++attempt.next_index;
    attempt.last_progress = scope.now;
    if (!attempt.first_token)
    {
        attempt.first_token = scope.now;
        reschedule(scope, *request);
    }
    append(request->produced, input.text);
    emit_pieces(scope, *request);
}

void handle(step_scope& scope, const attempt_finished& input)
{
    request_state* request = find_current(scope, input.attempt);
    if (request == nullptr)
        return record_dropped_answer(scope, input.attempt);
    if (!is_complete(*request, input))
        return fail_attempt(scope, *request, attempt_failure::malformed);
    observe_end(scope, *request, input);
    note_success(scope.state.crash_evidence, request->fingerprint);
    final_answer answer = answer_of_attempt(*request, input);
    finish_record(scope, *request, answer);
    const service_name service = request->request.service;
    scope.state.attempts.erase(request->attempt->id);
    request->attempt.reset();
    finish_request(scope, *request, std::move(answer));
    dispatch_waiting(scope, service);
}

void handle(step_scope& scope, const attempt_failed& input)
{
    request_state* request = find_current(scope, input.attempt);
    if (request == nullptr)
        return record_dropped_answer(scope, input.attempt);
    resolve_failure(scope, *request, input.reason);
}

void fail_attempt(
    step_scope& scope, request_state& request, attempt_failure reason)
{
    scope.actions.emplace_back(cancel_attempt{request.attempt->id});
    resolve_failure(scope, request, reason);
}

} // namespace bergamotusher::serving
