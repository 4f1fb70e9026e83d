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

/// No class's deadline may be further away.
constexpr duration longest_request = std::chrono::hours(24);

void accept(step_scope& scope, std::unique_ptr<request_state> made)
{
    life_cycle& state = scope.state;
    request_state& request = *made;
    request.connection = request.request.id;
    state.connections[request.connection] = &request;
    state.requests[request.request.id] = std::move(made);
    ++state.open_count;
    ++state.counters.accepted;
    record(scope, event_kind::request_accepted, {request.request.id, {}, {}});
    schedule(scope, request);
    const auto queue = state.waiting.find(request.request.service);
    const waiting_key key{
        request.target.priority, request.deadline, request.request.id};
    const bool has_elders =
        queue != state.waiting.end() && *queue->second.begin() < key;
    if (has_elders)
        return enqueue(scope, request);
    place(scope, request);
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
        return refuse(scope, request, {error_kind::draining, {}});
    check_result checked = check_request(scope, request, longest_request);
    if (failure* error = std::get_if<failure>(&checked))
        return refuse(scope, request, std::move(*error));
    accept(scope, std::move(std::get<std::unique_ptr<request_state>>(checked)));
}

void refuse_resumption(
    step_scope& scope, const request_resumed& input, error_kind kind)
{
    scope.actions.emplace_back(answer_error{
        input.connection,
        input.request,
        {kind, {}},
        run_claim::unknown,
        std::nullopt});
}

/// The older connection of a request that a newer one takes up.
void supersede(step_scope& scope, const request_state& request)
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

void handle(step_scope& scope, const request_resumed& input)
{
    const auto moved = scope.state.moved.find(input.request);
    request_state* request = find_request(scope.state, input.request);
    if (request == nullptr && moved != scope.state.moved.end())
    {
        scope.actions.emplace_back(
            answer_moved{input.connection, input.request, moved->second});
        return;
    }
    if (request == nullptr || request->request.account != input.account)
        return refuse_resumption(scope, input, error_kind::unknown_request);
    if (input.last_event > request->produced.count())
        return refuse_resumption(scope, input, error_kind::malformed_request);
    ++scope.state.counters.taken_up;
    record(
        scope,
        event_kind::request_taken_up,
        {request->request.id, {}, {}},
        {},
        input.last_event);
    supersede(scope, *request);
    attach(scope, *request, input.connection, input.last_event);
}

void handle(step_scope& scope, const caller_gone& input)
{
    const auto found = scope.state.connections.find(input.connection);
    if (found == scope.state.connections.end())
        return;
    request_state& request = *found->second;
    scope.state.connections.erase(found);
    request.connection = {};
    request.abandoned = scope.now;
    schedule(scope, request);
}

void pass_deadline(step_scope& scope, request_state& request)
{
    const bool at_upstream = request.phase == request_phase::running;
    if (needs_journal(request) && at_upstream && !request.answered)
    {
        answer_early(scope, request, {error_kind::deadline_passed, {}});
        return schedule(scope, request);
    }
    if (request.phase == request_phase::journalling)
        give_up_unsent(scope, request);
    fail(scope, request, {error_kind::deadline_passed, {}});
}

bool is_silent(
    const life_cycle& state, const request_state& request, time_point now)
{
    const bool watched = request.phase == request_phase::running &&
                         request.attempt && request.repeatable;
    return watched && silence_end(state, request) <= now;
}

void abandon(step_scope& scope, request_state& request)
{
    drop_current_attempt(scope, request);
    fail(scope, request, {error_kind::cancelled, {}});
}

/// Does what is due for one request; each case ends or reschedules it.
void wake(step_scope& scope, request_state& request)
{
    const life_cycle& state = scope.state;
    const auto due = [&scope](const std::optional<time_point>& at)
    {
        return at.has_value() && *at <= scope.now;
    };
    const life_cycle_limits& limits = state.options.limits;
    const duration late =
        request.answered ? limits.late_answer_wait : duration::zero();

    if (request.phase == request_phase::ended)
        return forget(scope, request);
    if (request.deadline + late <= scope.now)
        return pass_deadline(scope, request);
    if (request.repeatable && request.abandoned &&
        *request.abandoned + limits.caller_grace <= scope.now)
        return abandon(scope, request);
    if (request.handing_over && request.handing_over->give_up <= scope.now)
        return take_back(scope, request);
    if (!request.handing_over && due(request.hand_over_at))
        return offer_request(scope, request);
    if (is_silent(state, request, scope.now))
        return fail_attempt(scope, request, attempt_failure::silent);
    if (due(request.move_at))
        return move_request(scope, request);
    const bool asks_again = request.phase == request_phase::polling ||
                            request.phase == request_phase::holding;
    if (asks_again && request.retry_at <= scope.now)
        return place(scope, request);
    schedule(scope, request);
}

void handle(step_scope& scope, const tick& /*input*/)
{
    life_cycle& state = scope.state;
    judge_crashes(scope);
    std::vector<request_id> due;
    for (const auto& [at, id] : state.wakes)
    {
        if (at > scope.now)
            break;
        due.push_back(id);
    }
    for (const request_id& id : due)
        if (request_state* request = find_request(state, id))
            wake(scope, *request);
    std::vector<service_name> services;
    for (const auto& [service, queue] : state.waiting)
        services.push_back(service);
    for (const service_name& service : services)
        serve_waiting(scope, service);
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
