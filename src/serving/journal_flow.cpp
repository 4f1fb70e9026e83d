#include "serving/journal_flow.hpp"

#include "serving/answers.hpp"
#include "serving/placing.hpp"

#include <algorithm>

namespace bergamotusher::serving
{

namespace
{

/// Given-up attempts that are remembered.
constexpr std::size_t most_given_up = 10'000;

journal_key key_of(const request_state& request)
{
    return {request.request.account, request.request.idempotency_key};
}

void remember_given_up(life_cycle& state, const attempt_id& attempt)
{
    if (!state.given_up.insert(attempt).second)
        return;
    state.given_up_order.push_back(attempt);
    if (state.given_up_order.size() <= most_given_up)
        return;
    state.given_up.erase(state.given_up_order.front());
    state.given_up_order.pop_front();
}

void ask_journal(step_scope& scope, request_state& request)
{
    journal_record record;
    record.key = key_of(request);
    record.fingerprint = request.fingerprint;
    record.owner = scope.state.options.node;
    record.owner_incarnation = scope.state.options.incarnation;
    record.attempt = request.attempt->id;
    record.target = request.attempt->where.id;
    record.begun = scope.context.wall;
    scope.actions.emplace_back(
        journal_begin{request.request.id, std::move(record)});
    set_phase(scope, request, request_phase::journalling);
    schedule(scope, request);
}

/// Forgets an attempt that the journal did not record.
void forget_unsent(step_scope& scope, request_state& request)
{
    scope.state.attempts.erase(request.attempt->id);
    request.attempt.reset();
}

void poll_later(step_scope& scope, request_state& request)
{
    const life_cycle_limits& limits = scope.state.options.limits;
    forget_unsent(scope, request);
    request.may_have_run = true;
    request.probed = false;
    request.poll_pause =
        request.poll_pause == duration::zero()
            ? limits.poll_first
            : std::min(request.poll_pause * 2, limits.poll_most);
    set_phase(scope, request, request_phase::polling);
    request.retry_at = scope.now + request.poll_pause;
    schedule(scope, request);
}

void fail_unknown(step_scope& scope, request_state& request, std::string detail)
{
    request.may_have_run = true;
    fail(scope, request, {error_kind::outcome_unknown, std::move(detail)});
}

void take_begun(step_scope& scope, request_state& request)
{
    request.journalled = request.attempt->id;
    request.may_have_run = false;
    request.journal_losses = 0;
    const bool unusable =
        request.attempt->target_lost || request.attempt->where.id.empty();
    const bool quarantined =
        is_quarantined(scope.state.crashes, request.fingerprint);
    if (!unusable && !quarantined)
        return dispatch_attempt(scope, request);
    release_record(scope, request);
    forget_unsent(scope, request);
    place(scope, request);
}

/// A record of this very process: it is certain what became of it, unless
/// the attempt was sent and its end was not seen.
void take_own_record(
    step_scope& scope, request_state& request, const journal_record& held)
{
    life_cycle& state = scope.state;
    if (state.attempts.contains(held.attempt))
        return poll_later(scope, request);
    if (!state.given_up.contains(held.attempt))
        return fail_unknown(scope, request, "it was sent before");
    scope.actions.emplace_back(journal_release{held.key, held.attempt});
    poll_later(scope, request);
}

void take_in_flight(
    step_scope& scope, request_state& request, const journal_record& held)
{
    const life_cycle_options& options = scope.state.options;
    if (held.attempt == request.attempt->id)
        return take_begun(scope, request);
    if (held.owner == options.node &&
        held.owner_incarnation == options.incarnation)
        return take_own_record(scope, request, held);
    poll_later(scope, request);
}

void take_finished(
    step_scope& scope, request_state& request, const stored_answer& stored)
{
    forget_unsent(scope, request);
    if (stored.truncated)
        return fail_unknown(
            scope, request, "it ran; its answer was too large to be kept");
    final_answer answer;
    answer.status = stored.status;
    answer.content_type = stored.content_type;
    answer.body = stored.body;
    finish(scope, request, std::move(answer));
}

/// A service that removes duplicates itself may be asked again.
void take_unknown(
    step_scope& scope, request_state& request, const journal_record& held)
{
    const bool usable =
        !request.attempt->target_lost && !request.attempt->where.id.empty();
    if (!request.deduplicates || !usable)
    {
        forget_unsent(scope, request);
        return fail_unknown(scope, request, "it was sent before");
    }
    request.journalled = held.attempt;
    request.may_have_run = true;
    dispatch_attempt(scope, request);
}

void take_result(
    step_scope& scope, request_state& request, const begin_result& result)
{
    switch (result.outcome)
    {
    case begin_outcome::begun:
        return take_begun(scope, request);
    case begin_outcome::in_flight:
        return take_in_flight(scope, request, result.record);
    case begin_outcome::finished:
        return take_finished(scope, request, result.record.answer);
    case begin_outcome::unknown:
        return take_unknown(scope, request, result.record);
    case begin_outcome::conflict:
        forget_unsent(scope, request);
        return fail(scope, request, {error_kind::key_conflict, {}});
    }
}

/// The question is asked again for the same attempt, which makes it safe.
void take_lost(step_scope& scope, request_state& request)
{
    if (++request.journal_losses <= scope.state.options.limits.journal_losses)
        return ask_journal(scope, request);
    give_up_unsent(scope, request);
    fail(scope, request, {error_kind::no_quorum, {}});
}

/// The journal recorded an attempt that is no longer wanted.
void take_late(step_scope& scope, const journal_answered& input)
{
    ++scope.state.counters.late_inputs;
    const bool recorded =
        input.result && input.result->outcome == begin_outcome::begun;
    if (recorded && scope.state.given_up.contains(input.attempt))
        scope.actions.emplace_back(
            journal_release{input.result->record.key, input.attempt});
}

} // namespace

void begin_journal(step_scope& scope, request_state& request)
{
    ask_journal(scope, request);
}

void probe_journal(step_scope& scope, request_state& request)
{
    request.probed = true;
    start_attempt(scope, request, choice{});
}

void handle(step_scope& scope, const journal_answered& input)
{
    const auto found = scope.state.attempts.find(input.attempt);
    if (found == scope.state.attempts.end())
        return take_late(scope, input);
    request_state& request = *found->second;
    if (request.phase != request_phase::journalling)
    {
        ++scope.state.counters.late_inputs;
        return;
    }
    if (input.lost)
        return take_lost(scope, request);
    if (!input.result)
    {
        forget_unsent(scope, request);
        return fail(scope, request, {error_kind::no_quorum, {}});
    }
    take_result(scope, request, *input.result);
}

void release_record(step_scope& scope, request_state& request)
{
    if (request.journalled.empty())
        return;
    scope.actions.emplace_back(
        journal_release{key_of(request), request.journalled});
    remember_given_up(scope.state, request.journalled);
    request.journalled = {};
}

void give_up_unsent(step_scope& scope, request_state& request)
{
    if (!request.attempt)
        return;
    remember_given_up(scope.state, request.attempt->id);
    scope.actions.emplace_back(
        journal_release{key_of(request), request.attempt->id});
    forget_unsent(scope, request);
}

void finish_record(
    step_scope& scope, request_state& request, const final_answer& answer)
{
    if (request.journalled.empty())
        return;
    stored_answer stored;
    stored.status = answer.status;
    stored.content_type = answer.content_type;
    stored.body = answer.body.empty() ? request.produced.text : answer.body;
    scope.actions.emplace_back(
        journal_finish{key_of(request), request.journalled, std::move(stored)});
    request.journalled = {};
}

} // namespace bergamotusher::serving
