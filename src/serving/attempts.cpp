#include "serving/attempts.hpp"

#include "serving/answers.hpp"
#include "serving/journal_flow.hpp"
#include "serving/placing.hpp"

namespace bergamotusher::serving
{

namespace
{

/// First status of an answer that is an error.
constexpr int first_error_status = 400;
/// Finish reason where the limit on tokens was reached.
constexpr std::string_view reason_length = "length";

request_state* current(step_scope& scope, const attempt_id& attempt)
{
    const auto found = scope.state.attempts.find(attempt);
    if (found != scope.state.attempts.end() &&
        found->second->attempt->dispatched)
        return found->second;
    ++scope.state.counters.late_inputs;
    return nullptr;
}

void drop_late(step_scope& scope, const attempt_id& attempt)
{
    record(scope, event_kind::answer_dropped, {{}, attempt, {}});
}

attempt_observed
observation_of(const step_scope& scope, const request_state& request)
{
    const running_attempt& attempt = *request.attempt;
    attempt_observed seen;
    seen.target = attempt.where.id;
    seen.key.service = request.request.service;
    seen.key.version = attempt.where.version;
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

/// Only these say for certain that the upstream did not run the request.
bool certainly_not_run(const request_state& request, attempt_failure reason)
{
    const bool said = reason == attempt_failure::connection_refused ||
                      reason == attempt_failure::refused;
    return said && request.attempt->next_index == 0;
}

void note_crash(
    step_scope& scope, const request_state& request, attempt_failure reason)
{
    const running_attempt& attempt = *request.attempt;
    const choice& where = attempt.where;
    const bool refused = reason == attempt_failure::connection_refused;
    quarantine_state& crashes = scope.state.crashes;
    if (reason == attempt_failure::broken || (refused && attempt.sent))
        note_broken(
            crashes, where.id, where.domain, request.fingerprint, scope.now);
    if (refused)
        note_refused(crashes, where.id, scope.now);
}

/// A connection that was refused after the request had gone out on an older
/// one proves nothing of the request: it broke.
attempt_failure
proven_reason(const request_state& request, attempt_failure reason)
{
    const bool went_out =
        reason == attempt_failure::connection_refused && request.attempt->sent;
    return went_out ? attempt_failure::broken : reason;
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

/// Whether all tokens that the caller allowed are there already.
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

/// The upstream was leaving: its end is lost capacity, not a failure that
/// the retry budget is for.
void go_on_elsewhere(step_scope& scope, request_state& request)
{
    ++scope.state.counters.moves;
    request.next_is_retry = false;
    place(scope, request);
}

void retry(step_scope& scope, request_state& request, attempt_failure reason)
{
    if (reached_limit(request))
        return finish(scope, request, limit_answer(request));
    if (scope.state.leaving.contains(request.failed_on))
        return go_on_elsewhere(scope, request);
    const bool spent =
        ++request.charged_attempts >= scope.state.options.limits.attempts;
    if (spent || request.retry_percent == 0)
        return fail(scope, request, error_for(reason));
    request.next_is_retry = true;
    place(scope, request);
}

/// What follows for a request that may not be repeated.
void settle_unrepeatable(
    step_scope& scope,
    request_state& request,
    attempt_failure reason,
    bool not_run)
{
    if (not_run)
        release_record(scope, request);
    if (request.answered)
        return fail(scope, request, error_for(reason));
    if (not_run || (request.deduplicates && request.produced.count() == 0))
        return retry(scope, request, reason);
    fail(
        scope,
        request,
        {error_kind::outcome_unknown, std::string(to_name(reason))});
}

void settle_failure(
    step_scope& scope, request_state& request, attempt_failure told)
{
    note_crash(scope, request, told);
    const attempt_failure reason = proven_reason(request, told);
    const bool not_run = certainly_not_run(request, reason);
    const choice where = request.attempt->where;
    observe_failure(scope, request, reason);
    record(
        scope,
        event_kind::attempt_failed,
        {request.request.id, request.attempt->id, where.id},
        std::string(to_name(reason)));
    scope.state.attempts.erase(request.attempt->id);
    request.attempt.reset();
    request.move_at.reset();
    request.last_failure = reason;
    request.may_have_run = request.may_have_run || !not_run;
    request.failed_on = where.id;
    request.excluded.push_back(where.id);
    request.avoided.push_back(where.domain);
    if (reason == attempt_failure::malformed)
        ++scope.state.counters.malformed_answers;
    if (needs_journal(request))
        settle_unrepeatable(scope, request, reason, not_run);
    else
        retry(scope, request, reason);
}

/// The length and the mark of a streamed answer must be those seen.
bool is_whole(const request_state& request, const attempt_finished& input)
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
    const std::uint64_t before =
        request.produced.count() - request.attempt->next_index;
    final_answer answer;
    answer.status = input.status;
    answer.content_type = input.content_type;
    answer.body = input.body;
    answer.finish_reason = input.finish_reason;
    answer.prompt_tokens =
        input.prompt_tokens > before
            ? input.prompt_tokens - static_cast<std::uint32_t>(before)
            : 0;
    answer.answered_tokens =
        input.answered_tokens + static_cast<std::uint32_t>(before);
    return answer;
}

} // namespace

void handle(step_scope& scope, const attempt_sent& input)
{
    request_state* request = current(scope, input.attempt);
    if (request == nullptr)
        return;
    request->attempt->sent = true;
    request->attempt->last_progress = scope.now;
}

void handle(step_scope& scope, const attempt_token& input)
{
    request_state* request = current(scope, input.attempt);
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
        schedule(scope, *request);
    }
    append(request->produced, input.text);
    emit_pieces(scope, *request);
}

void handle(step_scope& scope, const attempt_finished& input)
{
    request_state* request = current(scope, input.attempt);
    if (request == nullptr)
        return drop_late(scope, input.attempt);
    if (!is_whole(*request, input))
        return fail_attempt(scope, *request, attempt_failure::malformed);
    observe_end(scope, *request, input);
    note_ended_well(scope.state.crashes, request->fingerprint);
    final_answer answer = answer_of_attempt(*request, input);
    finish_record(scope, *request, answer);
    const service_name service = request->request.service;
    scope.state.attempts.erase(request->attempt->id);
    request->attempt.reset();
    finish(scope, *request, std::move(answer));
    serve_waiting(scope, service);
}

void handle(step_scope& scope, const attempt_failed& input)
{
    request_state* request = current(scope, input.attempt);
    if (request == nullptr)
        return drop_late(scope, input.attempt);
    settle_failure(scope, *request, input.reason);
}

void fail_attempt(
    step_scope& scope, request_state& request, attempt_failure reason)
{
    scope.actions.emplace_back(cancel_attempt{request.attempt->id});
    settle_failure(scope, request, reason);
}

} // namespace bergamotusher::serving
