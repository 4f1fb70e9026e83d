#include "serving/moves.hpp"

#include "serving/answers.hpp"
#include "serving/placing.hpp"

#include <algorithm>

namespace bergamotusher::serving
{

namespace
{

/// A leaving upstream is remembered this long after its deadline.
constexpr duration leaving_memory = 60s;
/// Pause between two tries to move a request.
constexpr duration move_pause = 100ms;

/// Requests with an attempt on `target`, in the order of their acceptance.
std::vector<request_state*>
requests_on(const life_cycle& state, const upstream_id& target)
{
    std::vector<request_state*> found;
    for (const auto& [id, request] : state.attempts)
        if (request->attempt->where.id == target)
            found.push_back(request);
    std::sort(
        found.begin(),
        found.end(),
        [](const request_state* left, const request_state* right)
        {
            return std::tie(left->accepted, left->request.id) <
                   std::tie(right->accepted, right->request.id);
        });
    return found;
}

bool is_movable(const request_state& request)
{
    return request.phase == request_phase::running && request.repeatable;
}

void count_move(step_scope& scope, request_state& request)
{
    ++scope.state.counters.moves;
    request.may_have_run = true;
    request.next_is_retry = false;
}

/// Forgets notices whose upstreams must be gone by now.
void forget_old_notices(step_scope& scope)
{
    std::erase_if(
        scope.state.leaving,
        [&scope](const auto& item)
        { return item.second < scope.now - leaving_memory; });
}

/// Requests that broke with `target` and wait for the retry budget: what they
/// met was lost capacity, which is not charged.
void release_held(step_scope& scope, const upstream_id& target)
{
    std::vector<request_state*> found;
    for (const auto& [id, request] : scope.state.requests)
        if (request->phase == request_phase::holding &&
            request->next_is_retry && request->failed_on == target)
            found.push_back(request.get());
    for (request_state* request : found)
    {
        count_move(scope, *request);
        place(scope, *request);
    }
}

void end_quarantined(step_scope& scope, const std::string& fingerprint)
{
    std::vector<request_state*> found;
    for (const auto& [id, request] : scope.state.requests)
        if (request->phase != request_phase::ended &&
            request->fingerprint == fingerprint && request->repeatable)
            found.push_back(request.get());
    for (request_state* request : found)
    {
        drop_current_attempt(scope, *request);
        request->may_have_run = true;
        fail(scope, *request, {error_kind::quarantined, {}});
    }
}

} // namespace

void handle(step_scope& scope, const upstream_leaves& input)
{
    const life_cycle_limits& limits = scope.state.options.limits;
    scope.state.leaving[input.target] = input.deadline;
    note_notice(scope.state.crashes, input.target, scope.now);
    record(scope, event_kind::upstream_leaving, {{}, {}, input.target});
    time_point move_at = input.deadline - limits.move_margin;
    for (request_state* request : requests_on(scope.state, input.target))
    {
        request->attempt->target_lost = true;
        if (!is_movable(*request))
            continue;
        request->move_at = std::max(scope.now, move_at);
        move_at -= limits.move_spacing;
        if (*request->move_at <= scope.now)
            move_request(scope, *request);
        else
            schedule(scope, *request);
    }
}

void handle(step_scope& scope, const upstream_gone& input)
{
    const auto running = requests_on(scope.state, input.target);
    std::vector<std::string> fingerprints;
    failure_domain domain;
    for (const request_state* request : running)
    {
        domain = request->attempt->where.domain;
        if (request->attempt->dispatched)
            fingerprints.push_back(request->fingerprint);
    }
    note_gone(
        scope.state.crashes,
        input.target,
        domain,
        fingerprints,
        input.domain_lost,
        scope.now);
    scope.state.leaving.erase(input.target);
    record(scope, event_kind::upstream_lost, {{}, {}, input.target});
    for (request_state* request : running)
    {
        request->attempt->target_lost = true;
        if (!is_movable(*request))
            continue;
        drop_current_attempt(scope, *request);
        request->excluded.push_back(input.target);
        count_move(scope, *request);
        place(scope, *request);
    }
    release_held(scope, input.target);
}

void handle(step_scope& scope, const crash_reported& input)
{
    note_report(
        scope.state.crashes,
        input.target,
        input.domain,
        input.fingerprint,
        scope.now);
}

void move_request(step_scope& scope, request_state& request)
{
    if (!is_movable(request))
    {
        request.move_at.reset();
        return;
    }
    choice_result result = ask_routing(scope, request);
    const choice* where = std::get_if<choice>(&result);
    const auto leaves = scope.state.leaving.find(request.attempt->where.id);
    const bool can_stay =
        leaves != scope.state.leaving.end() && scope.now < leaves->second;
    if (where == nullptr && can_stay)
    {
        request.move_at = scope.now + move_pause;
        return schedule(scope, request);
    }
    drop_current_attempt(scope, request);
    count_move(scope, request);
    if (where != nullptr)
        start_attempt(scope, request, *where);
    else
        place(scope, request);
}

void judge_crashes(step_scope& scope)
{
    forget_old_notices(scope);
    for (crash_verdict& verdict : judge(scope.state.crashes, scope.now))
    {
        if (verdict.to_report)
            scope.actions.emplace_back(report_crash{
                verdict.fingerprint, verdict.target, verdict.domain});
        if (!verdict.quarantined)
            continue;
        ++scope.state.counters.quarantined;
        record(
            scope,
            event_kind::fingerprint_quarantined,
            {{}, {}, verdict.target},
            verdict.fingerprint);
        end_quarantined(scope, verdict.fingerprint);
    }
}

} // namespace bergamotusher::serving
