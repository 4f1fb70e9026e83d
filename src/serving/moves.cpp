#include "serving/moves.hpp"

#include "serving/answers.hpp"
#include "serving/placing.hpp"

#include <algorithm>

namespace bergamotusher::serving
{

namespace
{

/// A notice is kept this long after the upstream's deadline.
constexpr duration notice_retention = 60s;
/// Interval between two tries to move a request.
constexpr duration move_retry_interval = 100ms;

/// Requests with an attempt on `target`, in the order of their acceptance.
std::vector<request_state*>
requests_on(const life_cycle& state, const upstream_id& target)
{
    std::vector<request_state*> found;
    for (const auto& [id, request] : state.attempts)
        if (request->attempt->target.id == target)
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

/// Drops notices of upstreams that must be gone by now.
void expire_leave_notices(step_scope& scope)
{
    std::erase_if(
        scope.state.leaving,
        [&scope](const auto& item)
        { return item.second < scope.now - notice_retention; });
}

/// Places the delayed retries of requests that failed on `target`. The upstream
/// is lost, so these attempts count as moves and are not charged to the retry
/// budget.
void place_delayed(step_scope& scope, const upstream_id& target)
{
    std::vector<request_state*> found;
    for (const auto& [id, request] : scope.state.requests)
        if (request->phase == request_phase::delayed &&
            request->next_is_retry && request->failed_upstream == target)
            found.push_back(request.get());
    for (request_state* request : found)
    {
        count_move(scope, *request);
        place_request(scope, *request);
    }
}

void fail_quarantined(step_scope& scope, const std::string& fingerprint)
{
    std::vector<request_state*> found;
    for (const auto& [id, request] : scope.state.requests)
        if (request->phase != request_phase::ended &&
            request->fingerprint == fingerprint && request->repeatable)
            found.push_back(request.get());
    for (request_state* request : found)
    {
        request->may_have_run = claim_of(*request) == run_claim::unknown;
        drop_current_attempt(scope, *request);
        fail_request(scope, *request, {error_kind::quarantined, {}});
    }
}

void send_crash_report(step_scope& scope, const crash_verdict& verdict)
{
    report_crash report{
        verdict.fingerprint, verdict.target, verdict.domain, {}};
    if (scope.context.live_entries)
        add_report(
            scope.state.crash_reports,
            report,
            scope.context.live_entries(),
            scope.now);
    scope.actions.emplace_back(std::move(report));
}

} // namespace

void handle(step_scope& scope, const upstream_leaves& input)
{
    const life_cycle_limits& limits = scope.state.options.limits;
    scope.state.leaving[input.target] = input.deadline;
    note_leave_notice(scope.state.crash_evidence, input.target, scope.now);
    record(scope, event_kind::upstream_leaving, {{}, {}, input.target});
    time_point move_at = input.deadline - limits.move_margin;
    for (request_state* request : requests_on(scope.state, input.target))
    {
        request->attempt->target_unavailable = true;
        if (!is_movable(*request))
            continue;
        request->move_at = std::max(scope.now, move_at);
        move_at -= limits.move_spacing;
        if (*request->move_at <= scope.now)
            move_request(scope, *request);
        else
            reschedule(scope, *request);
    }
}

void handle(step_scope& scope, const upstream_gone& input)
{
    const auto running = requests_on(scope.state, input.target);
    std::vector<std::string> fingerprints;
    failure_domain domain;
    for (const request_state* request : running)
    {
        domain = request->attempt->target.domain;
        if (request->attempt->dispatched)
            fingerprints.push_back(request->fingerprint);
    }
    note_upstream_gone(
        scope.state.crash_evidence,
        input.target,
        domain,
        fingerprints,
        input.domain_lost,
        scope.now);
    scope.state.leaving.erase(input.target);
    record(scope, event_kind::upstream_lost, {{}, {}, input.target});
    for (request_state* request : running)
    {
        request->attempt->target_unavailable = true;
        if (!is_movable(*request))
            continue;
        drop_current_attempt(scope, *request);
        request->excluded_upstreams.push_back(input.target);
        count_move(scope, *request);
        place_request(scope, *request);
    }
    place_delayed(scope, input.target);
}

void handle(step_scope& scope, const crash_reported& input)
{
    note_crash_report(
        scope.state.crash_evidence,
        input.target,
        input.domain,
        input.fingerprint,
        scope.now);
    if (!input.reply_to.empty())
        scope.actions.emplace_back(
            acknowledge_crash{input.reply_to, input.fingerprint, input.target});
}

void handle(step_scope& scope, const crash_acknowledged& input)
{
    auto& reports = scope.state.crash_reports;
    note_acknowledged(reports, input.from, input.fingerprint, input.target);
    if (awaits_acknowledgement(reports, input.fingerprint, scope.now))
        return;
    std::vector<request_state*> held;
    for (const auto& [id, request] : scope.state.requests)
        if (request->phase == request_phase::failing &&
            request->fingerprint == input.fingerprint)
            held.push_back(request.get());
    for (request_state* request : held)
        send_held_error(scope, *request);
}

void move_request(step_scope& scope, request_state& request)
{
    if (!is_movable(request))
    {
        request.move_at.reset();
        return;
    }
    choice_result result = choose_upstream(scope, request);
    const choice* chosen = std::get_if<choice>(&result);
    const auto notice = scope.state.leaving.find(request.attempt->target.id);
    const bool can_stay =
        notice != scope.state.leaving.end() && scope.now < notice->second;
    if (chosen == nullptr && can_stay)
    {
        request.move_at = scope.now + move_retry_interval;
        return reschedule(scope, request);
    }
    drop_current_attempt(scope, request);
    count_move(scope, request);
    if (chosen != nullptr)
        start_attempt(scope, request, *chosen);
    else
        place_request(scope, request);
}

void judge_crashes(step_scope& scope)
{
    expire_leave_notices(scope);
    for (crash_verdict& verdict :
         judge_due_deaths(scope.state.crash_evidence, scope.now))
    {
        if (verdict.report_to_peers)
            send_crash_report(scope, verdict);
        if (!verdict.quarantined)
            continue;
        ++scope.state.counters.quarantined;
        record(
            scope,
            event_kind::fingerprint_quarantined,
            {{}, {}, verdict.target},
            verdict.fingerprint);
        fail_quarantined(scope, verdict.fingerprint);
    }
}

} // namespace bergamotusher::serving
