#include "serving/life_cycle.hpp"

#include "serving/admission_check.hpp"
#include "serving/answers.hpp"
#include "serving/attempts.hpp"
#include "serving/hand_over.hpp"
#include "serving/journal_flow.hpp"
#include "serving/moves.hpp"
#include "serving/placing.hpp"

namespace bergamotusher::serving
{

namespace
{

/// Upper bound on the deadline of any class.
constexpr duration max_request_time = std::chrono::hours(24);

void accept_request(
    step_scope& scope, std::unique_ptr<request_state> new_request)
{
    life_cycle& state = scope.state;
    request_state& request = *new_request;
    request.connection = request.request.id;
    state.connections[request.connection] = &request;
    state.requests[request.request.id] = std::move(new_request);
    ++state.open_count;
    ++state.counters.accepted;
    record(scope, event_kind::request_accepted, {request.request.id, {}, {}});
    reschedule(scope, request);
    const auto queue = state.waiting.find(request.request.service);
    const waiting_key key{
        request.request_class.priority, request.deadline, request.request.id};
    const bool is_behind_waiting =
        queue != state.waiting.end() && *queue->second.begin() < key;
    if (is_behind_waiting)
        return enqueue(scope, request);
    place_request(scope, request);
}

void handle(step_scope& scope, const request_arrived& input)
{
    const caller_request& request = input.request;
    if (find_request(scope.state, request.id) != nullptr)
    {
        ++scope.state.counters.late_inputs;
        return;
    }
    if (scope.state.drain)
        return reject_request(scope, request, {error_kind::draining, {}});
    check_result checked = check_request(scope, request, max_request_time);
    if (failure* error = std::get_if<failure>(&checked))
        return reject_request(scope, request, std::move(*error));
    accept_request(
        scope, std::move(std::get<std::unique_ptr<request_state>>(checked)));
}

void reject_reattach(
    step_scope& scope, const caller_reattached& input, error_kind kind)
{
    scope.actions.emplace_back(answer_error{
        input.connection,
        input.request,
        {kind, {}},
        run_claim::unknown,
        std::nullopt});
}

/// Ends the previous connection of a request to which a client reattaches.
void close_superseded_connection(
    step_scope& scope, const request_state& request)
{
    if (request.connection.empty())
        return;
    scope.actions.emplace_back(answer_error{
        request.connection,
        request.request.id,
        {error_kind::cancelled, "taken up by another connection"},
        run_claim::unknown,
        std::nullopt});
}

void handle(step_scope& scope, const caller_reattached& input)
{
    const auto moved = scope.state.handed_over_to.find(input.request);
    request_state* request = find_request(scope.state, input.request);
    if (request == nullptr && moved != scope.state.handed_over_to.end())
    {
        scope.actions.emplace_back(
            redirect_caller{input.connection, input.request, moved->second});
        return;
    }
    if (request == nullptr || request->request.account != input.account)
        return reject_reattach(scope, input, error_kind::unknown_request);
    if (input.last_event > request->produced.count())
        return reject_reattach(scope, input, error_kind::malformed_request);
    ++scope.state.counters.taken_up;
    record(
        scope,
        event_kind::request_taken_up,
        {request->request.id, {}, {}},
        {},
        input.last_event);
    close_superseded_connection(scope, *request);
    attach_connection(scope, *request, input.connection, input.last_event);
}

void handle(step_scope& scope, const caller_disconnected& input)
{
    const auto found = scope.state.connections.find(input.connection);
    if (found == scope.state.connections.end())
        return;
    request_state& request = *found->second;
    scope.state.connections.erase(found);
    request.connection = {};
    request.disconnected_at = scope.now;
    reschedule(scope, request);
}

void handle_deadline(step_scope& scope, request_state& request)
{
    const bool at_upstream = request.phase == request_phase::running;
    if (needs_journal(request) && at_upstream && !request.caller_answered)
    {
        send_early_error(scope, request, {error_kind::deadline_passed, {}});
        return reschedule(scope, request);
    }
    if (request.phase == request_phase::journalling)
        abandon_unsent_attempt(scope, request);
    fail_request(scope, request, {error_kind::deadline_passed, {}});
}

bool is_silent(
    const life_cycle& state, const request_state& request, time_point now)
{
    const bool watched = request.phase == request_phase::running &&
                         request.attempt && request.repeatable;
    return watched && silence_deadline(state, request) <= now;
}

void cancel_abandoned(step_scope& scope, request_state& request)
{
    drop_current_attempt(scope, request);
    fail_request(scope, request, {error_kind::cancelled, {}});
}

/// Handles the first condition that is due for one request. Each case ends the
/// request or schedules the next wake-up.
void handle_wake(step_scope& scope, request_state& request)
{
    const life_cycle& state = scope.state;
    const auto due = [&scope](const std::optional<time_point>& at)
    {
        return at.has_value() && *at <= scope.now;
    };
    const life_cycle_limits& limits = state.options.limits;
    const duration extra_wait =
        request.caller_answered ? limits.late_answer_timeout : duration::zero();

    if (request.phase == request_phase::ended)
        return erase_request(scope, request);
    if (request.phase == request_phase::failing)
        return send_held_error(scope, request);
    if (request.deadline + extra_wait <= scope.now)
        return handle_deadline(scope, request);
    if (request.repeatable && request.disconnected_at &&
        *request.disconnected_at + limits.disconnect_grace <= scope.now)
        return cancel_abandoned(scope, request);
    if (request.pending_offer && request.pending_offer->expires_at <= scope.now)
        return keep_after_decline(scope, request);
    if (!request.pending_offer && due(request.hand_over_at))
        return offer_request(scope, request);
    if (is_silent(state, request, scope.now))
        return fail_attempt(scope, request, attempt_failure::silent);
    if (due(request.move_at))
        return move_request(scope, request);
    const bool awaits_recheck =
        request.phase == request_phase::polling_journal ||
        request.phase == request_phase::delayed;
    if (awaits_recheck && request.retry_at <= scope.now)
        return place_request(scope, request);
    reschedule(scope, request);
}

void handle(step_scope& scope, const tick& /*input*/)
{
    life_cycle& state = scope.state;
    judge_crashes(scope);
    for (report_crash& repeated : due_repeats(state.crash_reports, scope.now))
        scope.actions.emplace_back(std::move(repeated));
    std::vector<request_id> due;
    for (const auto& [at, id] : state.wake_queue)
    {
        if (at > scope.now)
            break;
        due.push_back(id);
    }
    for (const request_id& id : due)
        if (request_state* request = find_request(state, id))
            handle_wake(scope, *request);
    std::vector<service_name> services;
    for (const auto& [service, queue] : state.waiting)
        services.push_back(service);
    for (const service_name& service : services)
        dispatch_waiting(scope, service);
}

} // namespace

std::vector<serving_action> step(
    life_cycle& state,
    const serving_input& input,
    const serving_context& context,
    time_point now)
{
    std::vector<serving_action> actions;
    step_scope scope{state, context, now, actions};
    std::visit([&scope](const auto& value) { handle(scope, value); }, input);
    check_drain(scope);
    return actions;
}

} // namespace bergamotusher::serving
