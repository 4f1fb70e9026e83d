#include "serving/placing.hpp"

#include "serving/answers.hpp"
#include "serving/journal_flow.hpp"
#include "serving/stream_resume.hpp"
#include "serving/version_draw.hpp"

#include <algorithm>

namespace bergamotusher::serving
{

namespace
{

/// Answered tokens expected where the caller sets no limit.
constexpr std::uint32_t usual_answer_tokens = 256;
/// Waiting requests that are offered room in one pass and get none, before
/// the pass ends.
constexpr int most_misses = 8;

std::uint32_t expected_tokens(const request_state& request)
{
    const std::uint32_t whole =
        request.max_tokens == 0
            ? usual_answer_tokens
            : std::min(request.max_tokens, usual_answer_tokens);
    const auto done = static_cast<std::uint32_t>(request.produced.count());
    return whole > done ? whole - done : 1;
}

/// Upstreams on which another suspect runs now.
std::vector<upstream_id>
suspects_upstreams(const step_scope& scope, const request_state& request)
{
    std::vector<upstream_id> found;
    for (const auto& [id, other] : scope.state.attempts)
        if (other != &request &&
            is_suspect(scope.state.crashes, other->fingerprint, scope.now))
            found.push_back(other->attempt->where.id);
    return found;
}

bool wants_isolation(const step_scope& scope, request_state& request)
{
    const quarantine_state& crashes = scope.state.crashes;
    if (!is_suspect(crashes, request.fingerprint, scope.now))
        return false;
    if (!request.isolating_since)
        request.isolating_since = scope.now;
    return is_prime_suspect(crashes, request.fingerprint) ||
           scope.now - *request.isolating_since <
               scope.state.options.limits.isolation_wait;
}

choice_request
question_of(step_scope& scope, request_state& request, bool isolated)
{
    choice_request question;
    question.service = request.request.service;
    question.account = request.request.account;
    question.target = request.target;
    question.excluded = request.excluded;
    question.avoided = request.avoided;
    question.prefix_blocks = request.prefix_blocks;
    question.prompt_tokens =
        request.prompt_tokens +
        static_cast<std::uint32_t>(request.produced.count());
    question.expected_tokens = expected_tokens(request);
    question.time_left = request.deadline - scope.now;
    for (const auto& [id, until] : scope.state.leaving)
        question.excluded.push_back(id);
    if (isolated)
        for (upstream_id& id : suspects_upstreams(scope, request))
            question.excluded.push_back(std::move(id));
    return question;
}

/// The more hopeful of two reasons to wait.
no_choice better_of(const no_choice& left, const no_choice& right)
{
    const auto hope = [](const no_choice& value)
    {
        switch (value.reason)
        {
        case no_choice_reason::wait:
            return 2;
        case no_choice_reason::too_late:
            return 1;
        default:
            return 0;
        }
    };
    return hope(right) > hope(left) ? right : left;
}

void refuse_arrival(
    step_scope& scope, request_state& request, const no_choice& none)
{
    const bool absent = none.reason == no_choice_reason::none_known;
    std::optional<duration> pause;
    if (none.retry_after > duration::zero())
        pause = none.retry_after;
    fail(
        scope,
        request,
        {absent ? error_kind::no_upstream : error_kind::overloaded, {}},
        pause);
}

/// An accepted request waits on; one that has only just come and cannot be
/// served in time is refused.
void place_later(
    step_scope& scope,
    request_state& request,
    const no_choice& none,
    bool isolated)
{
    if (needs_journal(request) && !request.probed && request.journalled.empty())
        return probe_journal(scope, request);
    if (none.reason == no_choice_reason::wait)
        return enqueue(scope, request);
    if (isolated || request.attempts_started > 0 || request.may_have_run)
    {
        if (!isolated)
            request.excluded.clear();
        return hold(scope, request, scope.state.options.limits.hold_pause);
    }
    refuse_arrival(scope, request, none);
}

bool must_hold(step_scope& scope, request_state& request)
{
    if (awaits_judgement(scope.state.crashes, request.fingerprint, scope.now))
        return true;
    if (!request.next_is_retry)
        return false;
    const bool affordable = has_retry(
        scope.state.budgets[request.request.service],
        request.retry_percent,
        scope.now);
    if (!affordable && !request.waits_for_budget)
        ++scope.state.counters.budget_waits;
    request.waits_for_budget = !affordable;
    return !affordable;
}

void count_attempt(step_scope& scope, request_state& request)
{
    life_cycle_counters& counters = scope.state.counters;
    retry_budget& budget = scope.state.budgets[request.request.service];
    ++counters.attempts;
    if (request.next_is_retry)
    {
        count_retry(budget, scope.now);
        ++counters.retries;
    }
    else if (request.attempts_started == 0)
    {
        count_first_attempt(budget, scope.now);
    }
    ++request.attempts_started;
    request.next_is_retry = false;
}

/// A later attempt computes again what an earlier one had computed.
void count_recomputation(step_scope& scope, request_state& request)
{
    if (request.attempts_started < 2)
        return;
    running_attempt& attempt = *request.attempt;
    attempt.recomputed_tokens = attempt.where.recomputed_tokens;
    scope.state.counters.recomputed_tokens += attempt.recomputed_tokens;
    if (request.produced.count() == 0)
        return;
    ++scope.state.counters.resumes;
    record(
        scope,
        event_kind::attempt_resumed,
        {request.request.id, attempt.id, attempt.where.id},
        {},
        request.produced.count());
}

std::string body_of(const request_state& request)
{
    if (request.produced.count() == 0)
        return request.request.body;
    return resumed_body(
        request.request.body, request.produced.text, request.produced.count());
}

dispatch dispatch_of(const step_scope& scope, const request_state& request)
{
    const running_attempt& attempt = *request.attempt;
    const caller_request& from = request.request;
    dispatch action;
    action.request = from.id;
    action.attempt = attempt.id;
    action.target = attempt.where.id;
    action.address = attempt.where.address;
    action.kind = from.kind;
    action.method = from.method;
    action.path = from.path;
    action.content_type = from.content_type;
    action.body = body_of(request);
    action.idempotency_key = from.idempotency_key;
    action.stream = from.kind == upstream_kind::engine;
    action.priority = request.target.priority;
    action.silence_limit = needs_journal(request)
                               ? request.deadline - scope.now
                               : first_silence(scope.state, request);
    return action;
}

} // namespace

choice_result ask_routing(step_scope& scope, request_state& request)
{
    const bool isolated = wants_isolation(scope, request);
    choice_request question = question_of(scope, request, isolated);
    no_choice none;
    for (version_candidate& candidate : version_candidates(
             *scope.context.config,
             question.service,
             request.version,
             next_draw(scope.state)))
    {
        question.versions = std::move(candidate.versions);
        question.only = std::move(candidate.only);
        question.draw = next_draw(scope.state);
        choice_result result = scope.context.choose(question, scope.now);
        if (std::holds_alternative<choice>(result))
            return result;
        none = better_of(none, std::get<no_choice>(result));
    }
    return none;
}

void place(step_scope& scope, request_state& request)
{
    if (is_quarantined(scope.state.crashes, request.fingerprint))
        return fail(scope, request, {error_kind::quarantined, {}});
    if (must_hold(scope, request))
        return hold(scope, request, scope.state.options.limits.hold_pause);
    choice_result result = ask_routing(scope, request);
    if (const choice* where = std::get_if<choice>(&result))
        return start_attempt(scope, request, *where);
    place_later(
        scope,
        request,
        std::get<no_choice>(result),
        wants_isolation(scope, request));
}

void start_attempt(
    step_scope& scope, request_state& request, const choice& where)
{
    running_attempt attempt;
    attempt.id = next_attempt_id(scope.state);
    attempt.where = where;
    attempt.started = scope.now;
    attempt.last_progress = scope.now;
    request.isolating_since.reset();
    request.attempt = std::move(attempt);
    scope.state.attempts[request.attempt->id] = &request;
    if (needs_journal(request) && request.journalled.empty())
        return begin_journal(scope, request);
    dispatch_attempt(scope, request);
}

void dispatch_attempt(step_scope& scope, request_state& request)
{
    running_attempt& attempt = *request.attempt;
    count_attempt(scope, request);
    count_recomputation(scope, request);
    request.version = attempt.where.version;
    attempt.dispatched = true;
    attempt.started = scope.now;
    attempt.last_progress = scope.now;
    set_phase(scope, request, request_phase::running);
    record(
        scope,
        event_kind::attempt_dispatched,
        {request.request.id, attempt.id, attempt.where.id});
    scope.actions.emplace_back(dispatch_of(scope, request));
    schedule(scope, request);
}

void drop_current_attempt(step_scope& scope, request_state& request)
{
    if (!request.attempt)
        return;
    scope.state.attempts.erase(request.attempt->id);
    if (request.attempt->dispatched)
        scope.actions.emplace_back(cancel_attempt{request.attempt->id});
    request.attempt.reset();
    request.move_at.reset();
}

void hold(step_scope& scope, request_state& request, duration pause)
{
    set_phase(scope, request, request_phase::holding);
    request.retry_at = scope.now + pause;
    schedule(scope, request);
}

void enqueue(step_scope& scope, request_state& request)
{
    const bool is_new = request.phase != request_phase::waiting;
    const bool full = scope.state.waiting_count >=
                      scope.state.options.limits.waiting_requests;
    const bool accepted = request.attempts_started > 0 || request.may_have_run;
    if (is_new && full && !accepted)
        return refuse_arrival(scope, request, {no_choice_reason::wait, {}});
    set_phase(scope, request, request_phase::waiting);
    schedule(scope, request);
}

void serve_waiting(step_scope& scope, const service_name& service)
{
    const auto queue = scope.state.waiting.find(service);
    if (queue == scope.state.waiting.end())
        return;
    const std::vector<waiting_key> keys(
        queue->second.begin(), queue->second.end());
    int misses = 0;
    for (const waiting_key& key : keys)
    {
        request_state* request =
            find_request(scope.state, std::get<request_id>(key));
        if (request == nullptr || request->phase != request_phase::waiting)
            continue;
        place(scope, *request);
        const bool missed = request->phase == request_phase::waiting;
        if (missed && ++misses >= most_misses)
            return;
    }
}

} // namespace bergamotusher::serving
