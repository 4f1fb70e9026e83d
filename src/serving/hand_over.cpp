#include "serving/hand_over.hpp"

#include "serving/admission_check.hpp"
#include "serving/answers.hpp"
#include "serving/journal_flow.hpp"
#include "serving/placing.hpp"

#include <algorithm>

namespace bergamotusher::serving
{

namespace
{

/// Handed-over requests that are remembered in order to redirect clients.
constexpr std::size_t max_remembered_hand_overs = 100'000;
/// Remaining requests are failed this long before the deadline, so that their
/// clients still get an error.
constexpr duration final_error_margin = 500ms;

void remember_hand_over(
    life_cycle& state, const request_id& id, const node_id& successor)
{
    state.handed_over_to[id] = successor;
    state.handed_over_order.push_back(id);
    if (state.handed_over_order.size() <= max_remembered_hand_overs)
        return;
    state.handed_over_to.erase(state.handed_over_order.front());
    state.handed_over_order.pop_front();
}

std::vector<request_state*> open_requests(const life_cycle& state)
{
    std::vector<request_state*> open;
    for (const auto& [id, request] : state.requests)
        if (request->phase != request_phase::ended)
            open.push_back(request.get());
    std::sort(
        open.begin(),
        open.end(),
        [](const request_state* left, const request_state* right)
        {
            return std::tie(left->accepted, left->request.id) <
                   std::tie(right->accepted, right->request.id);
        });
    return open;
}

request_handed_over
hand_over_state_of(const step_scope& scope, const request_state& request)
{
    request_handed_over state;
    state.request = request.request;
    state.delivered = pieces_of(request.produced);
    state.time_left = request.deadline - scope.now;
    state.from = scope.state.options.node;
    state.version = request.version;
    state.failed_attempts = request.charged_attempts;
    return state;
}

void send_reply(step_scope& scope, const request_handed_over& input, bool taken)
{
    scope.actions.emplace_back(
        hand_over_reply{input.from, input.request.id, taken});
}

/// Registers the state that `check_request` created for a request handed over
/// by another entry.
request_state& adopt_request(
    step_scope& scope,
    std::unique_ptr<request_state> new_request,
    const request_handed_over& input)
{
    request_state& request = *new_request;
    for (const std::string& piece : input.delivered)
        append(request.produced, piece);
    request.emitted = request.produced.count();
    request.version = input.version;
    request.charged_attempts = input.failed_attempts;
    request.may_have_run = true;
    request.disconnected_at = scope.now;
    scope.state.requests[request.request.id] = std::move(new_request);
    ++scope.state.open_count;
    return request;
}

} // namespace

void handle(step_scope& scope, const drain_started& input)
{
    life_cycle& state = scope.state;
    const life_cycle_limits& limits = state.options.limits;
    const bool reported = state.drain && state.drain->reported;
    state.drain = drain_state{input.deadline, input.successors, reported};
    record(scope, event_kind::process_draining, {});
    if (!input.deadline || input.successors.empty())
        return;
    time_point hand_over_time = *input.deadline - limits.hand_over_margin;
    std::size_t next_index = 0;
    for (request_state* request : open_requests(state))
    {
        if (!request->repeatable)
            continue;
        request->next_successor = next_index++;
        request->hand_over_at = std::max(scope.now, hand_over_time);
        hand_over_time -= limits.move_spacing;
        reschedule(scope, *request);
    }
}

void handle(step_scope& scope, const request_handed_over& input)
{
    if (find_request(scope.state, input.request.id) != nullptr)
        return send_reply(scope, input, true);
    if (scope.state.drain || input.time_left <= duration::zero())
        return send_reply(scope, input, false);
    check_result checked = check_request(scope, input.request, input.time_left);
    auto* new_request = std::get_if<std::unique_ptr<request_state>>(&checked);
    if (new_request == nullptr || !(*new_request)->repeatable)
        return send_reply(scope, input, false);
    request_state& request =
        adopt_request(scope, std::move(*new_request), input);
    record(
        scope,
        event_kind::request_taken_up,
        {request.request.id, {}, {}},
        input.from.value,
        request.produced.count());
    send_reply(scope, input, true);
    reschedule(scope, request);
    place_request(scope, request);
}

void offer_request(step_scope& scope, request_state& request)
{
    const drain_state& drain = *scope.state.drain;
    request.hand_over_at.reset();
    const std::size_t index =
        request.next_successor++ % drain.successors.size();
    const node_id& successor = drain.successors[index];
    request.pending_offer = pending_hand_over{
        successor, scope.now + scope.state.options.limits.hand_over_timeout};
    scope.actions.emplace_back(
        hand_over{successor, hand_over_state_of(scope, request)});
    reschedule(scope, request);
}

void keep_after_decline(step_scope& scope, request_state& request)
{
    request.pending_offer.reset();
    emit_pieces(scope, request);
    ++request.declined_offers;
    if (scope.state.drain &&
        request.declined_offers < scope.state.drain->successors.size())
        request.hand_over_at = scope.now;
    reschedule(scope, request);
}

void handle(step_scope& scope, const hand_over_answered& input)
{
    request_state* request = find_request(scope.state, input.request);
    if (request == nullptr || !request->pending_offer)
        return;
    if (!input.taken)
        return keep_after_decline(scope, *request);
    const node_id successor = request->pending_offer->successor;
    ++scope.state.counters.handed_over;
    record(
        scope,
        event_kind::request_handed_over,
        {request->request.id, {}, {}},
        successor.value,
        request->produced.count());
    if (!request->connection.empty())
        scope.actions.emplace_back(redirect_caller{
            request->connection, request->request.id, successor});
    remember_hand_over(scope.state, request->request.id, successor);
    drop_current_attempt(scope, *request);
    erase_request(scope, *request);
}

void check_drain(step_scope& scope)
{
    if (!scope.state.drain)
        return;
    drain_state& drain = *scope.state.drain;
    if (drain.deadline && scope.now >= *drain.deadline - final_error_margin)
    {
        for (request_state* request : open_requests(scope.state))
        {
            if (request->phase == request_phase::journalling)
                abandon_unsent_attempt(scope, *request);
            fail_request(scope, *request, {error_kind::draining, {}});
        }
    }
    if (scope.state.open_count > 0 || drain.reported)
        return;
    drain.reported = true;
    scope.actions.emplace_back(drained{});
}

} // namespace bergamotusher::serving
