#include "serving/journal_flow.hpp"

#include "serving/answers.hpp"
#include "serving/placing.hpp"

#include <algorithm>

namespace bergamotusher::serving
{

namespace
{

/// Maximum number of abandoned attempts that are remembered.
constexpr std::size_t max_abandoned_attempts = 10'000;

journal_key key_of(const request_state& request)
{
    return {request.request.account, request.request.idempotency_key};
}

void remember_abandoned(life_cycle& state, const attempt_id& attempt)
{
    if (!state.abandoned_attempts.insert(attempt).second)
        return;
    state.abandoned_order.push_back(attempt);
    if (state.abandoned_order.size() <= max_abandoned_attempts)
        return;
    state.abandoned_attempts.erase(state.abandoned_order.front());
    state.abandoned_order.pop_front();
}

void send_journal_begin(step_scope& scope, request_state& request)
{
    journal_record record;
    record.key = key_of(request);
    record.fingerprint = request.fingerprint;
    record.owner = scope.state.options.node;
    record.owner_incarnation = scope.state.options.incarnation;
    record.attempt = request.attempt->id;
    record.target = request.attempt->target.id;
    record.begun = scope.context.wall;
    scope.actions.emplace_back(
        journal_begin{request.request.id, std::move(record)});
    set_phase(scope, request, request_phase::journalling);
    reschedule(scope, request);
}

/// Drops the current attempt, which was not dispatched.
void drop_unsent_attempt(step_scope& scope, request_state& request)
{
    scope.state.attempts.erase(request.attempt->id);
    request.attempt.reset();
}

void poll_later(step_scope& scope, request_state& request)
{
    const life_cycle_limits& limits = scope.state.options.limits;
    drop_unsent_attempt(scope, request);
    request.may_have_run = true;
    request.journal_probed = false;
    request.poll_interval =
        request.poll_interval == duration::zero()
            ? limits.min_poll_interval
            : std::min(request.poll_interval * 2, limits.max_poll_interval);
    set_phase(scope, request, request_phase::polling_journal);
    request.retry_at = scope.now + request.poll_interval;
    reschedule(scope, request);
}

void fail_outcome_unknown(
    step_scope& scope, request_state& request, std::string detail)
{
    request.may_have_run = true;
    fail_request(
        scope, request, {error_kind::outcome_unknown, std::move(detail)});
}

void handle_begun(step_scope& scope, request_state& request)
{
    request.recorded_attempt = request.attempt->id;
    request.may_have_run = false;
    request.lost_journal_answers = 0;
    const bool unusable = request.attempt->target_unavailable ||
                          request.attempt->target.id.empty();
    const bool quarantined =
        is_quarantined(scope.state.crash_evidence, request.fingerprint);
    if (!unusable && !quarantined)
        return dispatch_attempt(scope, request);
    release_record(scope, request);
    drop_unsent_attempt(scope, request);
    place_request(scope, request);
}

/// The key is held by an attempt of this process. It is still open, was
/// abandoned before dispatch, or was dispatched without a known outcome.
void handle_own_record(
    step_scope& scope, request_state& request, const journal_record& held)
{
    life_cycle& state = scope.state;
    if (state.attempts.contains(held.attempt))
        return poll_later(scope, request);
    if (!state.abandoned_attempts.contains(held.attempt))
        return fail_outcome_unknown(scope, request, "it was sent before");
    scope.actions.emplace_back(journal_release{held.key, held.attempt});
    poll_later(scope, request);
}

void handle_in_flight(
    step_scope& scope, request_state& request, const journal_record& held)
{
    const life_cycle_options& options = scope.state.options;
    if (held.attempt == request.attempt->id)
        return handle_begun(scope, request);
    if (held.owner == options.node &&
        held.owner_incarnation == options.incarnation)
        return handle_own_record(scope, request, held);
    poll_later(scope, request);
}

void handle_finished(
    step_scope& scope, request_state& request, const stored_answer& stored)
{
    drop_unsent_attempt(scope, request);
    if (stored.truncated)
        return fail_outcome_unknown(
            scope, request, "it ran; its answer was too large to be kept");
    final_answer answer;
    answer.status = stored.status;
    answer.content_type = stored.content_type;
    answer.body = stored.body;
    finish_request(scope, request, std::move(answer));
}

/// The key's earlier attempt has an unknown outcome. Only a service that
/// removes duplicates itself may get the request again.
void handle_unknown(
    step_scope& scope, request_state& request, const journal_record& held)
{
    const bool usable = !request.attempt->target_unavailable &&
                        !request.attempt->target.id.empty();
    if (!request.deduplicates || !usable)
    {
        drop_unsent_attempt(scope, request);
        return fail_outcome_unknown(scope, request, "it was sent before");
    }
    request.recorded_attempt = held.attempt;
    request.may_have_run = true;
    dispatch_attempt(scope, request);
}

void handle_result(
    step_scope& scope, request_state& request, const begin_result& result)
{
    switch (result.outcome)
    {
    case begin_outcome::begun:
        return handle_begun(scope, request);
    case begin_outcome::in_flight:
        return handle_in_flight(scope, request, result.record);
    case begin_outcome::finished:
        return handle_finished(scope, request, result.record.answer);
    case begin_outcome::unknown:
        return handle_unknown(scope, request, result.record);
    case begin_outcome::conflict:
        drop_unsent_attempt(scope, request);
        return fail_request(scope, request, {error_kind::key_conflict, {}});
    }
}

/// Repeats the journal request after its answer was lost. This is safe because
/// it names the same attempt.
void handle_lost_answer(step_scope& scope, request_state& request)
{
    if (++request.lost_journal_answers <=
        scope.state.options.limits.max_lost_journal_answers)
        return send_journal_begin(scope, request);
    abandon_unsent_attempt(scope, request);
    fail_request(scope, request, {error_kind::no_quorum, {}});
}

/// Handles a journal answer for an attempt that is no longer current; a record
/// that it made for an abandoned attempt is released.
void handle_late_answer(step_scope& scope, const journal_answered& input)
{
    ++scope.state.counters.late_inputs;
    const bool recorded =
        input.result && input.result->outcome == begin_outcome::begun;
    if (recorded && scope.state.abandoned_attempts.contains(input.attempt))
        scope.actions.emplace_back(
            journal_release{input.result->record.key, input.attempt});
}

} // namespace

void request_record(step_scope& scope, request_state& request)
{
    send_journal_begin(scope, request);
}

void probe_journal(step_scope& scope, request_state& request)
{
    request.journal_probed = true;
    start_attempt(scope, request, choice{});
}

void handle(step_scope& scope, const journal_answered& input)
{
    const auto found = scope.state.attempts.find(input.attempt);
    if (found == scope.state.attempts.end())
        return handle_late_answer(scope, input);
    request_state& request = *found->second;
    if (request.phase != request_phase::journalling)
    {
        ++scope.state.counters.late_inputs;
        return;
    }
    if (input.lost)
        return handle_lost_answer(scope, request);
    if (!input.result)
    {
        drop_unsent_attempt(scope, request);
        return fail_request(scope, request, {error_kind::no_quorum, {}});
    }
    handle_result(scope, request, *input.result);
}

void release_record(step_scope& scope, request_state& request)
{
    if (request.recorded_attempt.empty())
        return;
    scope.actions.emplace_back(
        journal_release{key_of(request), request.recorded_attempt});
    remember_abandoned(scope.state, request.recorded_attempt);
    request.recorded_attempt = {};
}

void abandon_unsent_attempt(step_scope& scope, request_state& request)
{
    if (!request.attempt)
        return;
    remember_abandoned(scope.state, request.attempt->id);
    scope.actions.emplace_back(
        journal_release{key_of(request), request.attempt->id});
    drop_unsent_attempt(scope, request);
}

void finish_record(
    step_scope& scope, request_state& request, const final_answer& answer)
{
    if (request.recorded_attempt.empty())
        return;
    stored_answer stored;
    stored.status = answer.status;
    stored.content_type = answer.content_type;
    stored.body = answer.body.empty() ? request.produced.text : answer.body;
    scope.actions.emplace_back(journal_finish{
        key_of(request), request.recorded_attempt, std::move(stored)});
    request.recorded_attempt = {};
}

} // namespace bergamotusher::serving
