#include "serving/placing.hpp"

#include "serving/answers.hpp"
#include "serving/journal_flow.hpp"
#include "serving/stream_resume.hpp"
#include "serving/version_selection.hpp"

#include <algorithm>

namespace bergamotusher::serving
{

namespace
{

/// Expected length of an answer, in tokens; a smaller limit set by the client
/// replaces it.
constexpr std::uint32_t default_answer_tokens = 256;
/// A pass over the queue ends after this many requests that found no upstream.
constexpr int max_misses = 8;

std::uint32_t expected_tokens(const request_state& request)
{
    const std::uint32_t total =
        request.max_tokens == 0
            ? default_answer_tokens
            : std::min(request.max_tokens, default_answer_tokens);
    const auto delivered = static_cast<std::uint32_t>(request.produced.count());
    return total > delivered ? total - delivered : 1;
}

/// Upstreams that currently run another crash suspect.
std::vector<upstream_id> upstreams_running_suspects(
    const step_scope& scope, const request_state& request)
{
    std::vector<upstream_id> found;
    for (const auto& [id, other] : scope.state.attempts)
        if (other != &request &&
            is_suspect(
                scope.state.crash_evidence, other->fingerprint, scope.now))
            found.push_back(other->attempt->target.id);
    return found;
}

bool wants_isolation(const step_scope& scope, request_state& request)
{
    const quarantine_state& crashes = scope.state.crash_evidence;
    if (!is_suspect(crashes, request.fingerprint, scope.now))
        return false;
    if (!request.isolation_started)
        request.isolation_started = scope.now;
    return is_quarantine_candidate(crashes, request.fingerprint) ||
           scope.now - *request.isolation_started <
               scope.state.options.limits.isolation_timeout;
}

choice_request
choice_request_of(step_scope& scope, request_state& request, bool isolated)
{
    choice_request query;
    query.service = request.request.service;
    query.account = request.request.account;
    query.target = request.request_class;
    query.excluded = request.excluded_upstreams;
    query.avoided = request.avoided_domains;
    query.prefix_blocks = request.prefix_blocks;
    query.prompt_tokens = request.prompt_tokens +
                          static_cast<std::uint32_t>(request.produced.count());
    query.expected_tokens = expected_tokens(request);
    query.time_left = request.deadline - scope.now;
    for (const auto& [id, until] : scope.state.leaving)
        query.excluded.push_back(id);
    if (isolated)
        for (upstream_id& id : upstreams_running_suspects(scope, request))
            query.excluded.push_back(std::move(id));
    return query;
}

/// Returns the result that is more likely to allow placement later.
no_choice more_hopeful(const no_choice& left, const no_choice& right)
{
    const auto rank = [](const no_choice& value)
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
    return rank(right) > rank(left) ? right : left;
}

void reject_unplaced(
    step_scope& scope, request_state& request, const no_choice& none)
{
    const bool no_upstream_known = none.reason == no_choice_reason::none_known;
    std::optional<duration> pause;
    if (none.retry_after > duration::zero())
        pause = none.retry_after;
    fail_request(
        scope,
        request,
        {no_upstream_known ? error_kind::no_upstream : error_kind::overloaded,
         {}},
        pause);
}

/// Handles a request for which routing found no upstream. A new request that
/// cannot be served in time is rejected; one that was already attempted keeps
/// waiting.
void handle_no_choice(
    step_scope& scope,
    request_state& request,
    const no_choice& none,
    bool isolated)
{
    if (needs_journal(request) && !request.journal_probed &&
        request.recorded_attempt.empty())
        return probe_journal(scope, request);
    if (none.reason == no_choice_reason::wait)
        return enqueue(scope, request);
    if (isolated || request.attempts_started > 0 || request.may_have_run)
    {
        if (!isolated)
            request.excluded_upstreams.clear();
        return delay_request(
            scope, request, scope.state.options.limits.recheck_interval);
    }
    reject_unplaced(scope, request, none);
}

bool must_delay(step_scope& scope, request_state& request)
{
    if (awaits_judgement(
            scope.state.crash_evidence, request.fingerprint, scope.now))
        return true;
    if (!request.next_is_retry)
        return false;
    const bool affordable = allows_retry(
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

/// Counts the tokens that a later attempt must process again, and records a
/// resumed stream.
void count_recomputation(step_scope& scope, request_state& request)
{
    if (request.attempts_started < 2)
        return;
    running_attempt& attempt = *request.attempt;
    attempt.recomputed_tokens = attempt.target.recomputed_tokens;
    scope.state.counters.recomputed_tokens += attempt.recomputed_tokens;
    if (request.produced.count() == 0)
        return;
    ++scope.state.counters.resumes;
    record(
        scope,
        event_kind::attempt_resumed,
        {request.request.id, attempt.id, attempt.target.id},
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
    action.target = attempt.target.id;
    action.address = attempt.target.address;
    action.kind = from.kind;
    action.method = from.method;
    action.path = from.path;
    action.content_type = from.content_type;
    action.body = body_of(request);
    action.idempotency_key = from.idempotency_key;
    action.stream = from.kind == upstream_kind::engine;
    action.priority = request.request_class.priority;
    action.silence_limit = needs_journal(request)
                               ? request.deadline - scope.now
                               : first_token_timeout(scope.state, request);
    return action;
}

} // namespace

choice_result choose_upstream(step_scope& scope, request_state& request)
{
    const bool isolated = wants_isolation(scope, request);
    choice_request query = choice_request_of(scope, request, isolated);
    no_choice none;
    for (version_candidate& candidate : version_candidates(
             *scope.context.config,
             query.service,
             request.version,
             next_draw(scope.state)))
    {
        query.versions = std::move(candidate.versions);
        query.only = std::move(candidate.only);
        query.draw = next_draw(scope.state);
        choice_result result = scope.context.choose(query, scope.now);
        if (std::holds_alternative<choice>(result))
            return result;
        none = more_hopeful(none, std::get<no_choice>(result));
    }
    return none;
}

void place_request(step_scope& scope, request_state& request)
{
    if (is_quarantined(scope.state.crash_evidence, request.fingerprint))
        return fail_request(scope, request, {error_kind::quarantined, {}});
    if (must_delay(scope, request))
        return delay_request(
            scope, request, scope.state.options.limits.recheck_interval);
    choice_result result = choose_upstream(scope, request);
    if (const choice* chosen = std::get_if<choice>(&result))
        return start_attempt(scope, request, *chosen);
    handle_no_choice(
        scope,
        request,
        std::get<no_choice>(result),
        wants_isolation(scope, request));
}

void start_attempt(
    step_scope& scope, request_state& request, const choice& chosen)
{
    running_attempt attempt;
    attempt.id = next_attempt_id(scope.state);
    attempt.target = chosen;
    attempt.started = scope.now;
    attempt.last_progress = scope.now;
    request.isolation_started.reset();
    request.attempt = std::move(attempt);
    scope.state.attempts[request.attempt->id] = &request;
    if (needs_journal(request) && request.recorded_attempt.empty())
        return request_record(scope, request);
    dispatch_attempt(scope, request);
}

void dispatch_attempt(step_scope& scope, request_state& request)
{
    running_attempt& attempt = *request.attempt;
    count_attempt(scope, request);
    count_recomputation(scope, request);
    request.version = attempt.target.version;
    attempt.dispatched = true;
    attempt.started = scope.now;
    attempt.last_progress = scope.now;
    set_phase(scope, request, request_phase::running);
    record(
        scope,
        event_kind::attempt_dispatched,
        {request.request.id, attempt.id, attempt.target.id});
    scope.actions.emplace_back(dispatch_of(scope, request));
    reschedule(scope, request);
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

void delay_request(step_scope& scope, request_state& request, duration pause)
{
    set_phase(scope, request, request_phase::delayed);
    request.retry_at = scope.now + pause;
    reschedule(scope, request);
}

void enqueue(step_scope& scope, request_state& request)
{
    const bool is_new = request.phase != request_phase::waiting;
    const bool full = scope.state.waiting_count >=
                      scope.state.options.limits.max_waiting_requests;
    const bool accepted = request.attempts_started > 0 || request.may_have_run;
    if (is_new && full && !accepted)
        return reject_unplaced(scope, request, {no_choice_reason::wait, {}});
    set_phase(scope, request, request_phase::waiting);
    reschedule(scope, request);
}

void dispatch_waiting(step_scope& scope, const service_name& service)
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
        place_request(scope, *request);
        const bool missed = request->phase == request_phase::waiting;
        if (missed && ++misses >= max_misses)
            return;
    }
}

} // namespace bergamotusher::serving
