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

/// Moved requests that are remembered, to send their callers on.
constexpr std::size_t most_moved = 100'000;
/// Callers that are left are told the truth this long before the end.
constexpr duration last_words = 500ms;

void remember_moved(
    life_cycle& state, const request_id& id, const node_id& successor)
{
    state.moved[id] = successor;
    state.moved_order.push_back(id);
    if (state.moved_order.size() <= most_moved)
        return;
    state.moved.erase(state.moved_order.front());
    state.moved_order.pop_front();
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
state_of(const step_scope& scope, const request_state& request)
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

void reply(step_scope& scope, const request_handed_over& input, bool taken)
{
    scope.actions.emplace_back(
        hand_over_reply{input.from, input.request.id, taken});
}

/// Adopts the state that `check_request` made for a request handed over.
request_state& adopt(
    step_scope& scope,
    std::unique_ptr<request_state> made,
    const request_handed_over& input)
{
    request_state& request = *made;
    for (const std::string& piece : input.delivered)
        append(request.produced, piece);
    request.emitted = request.produced.count();
    request.version = input.version;
    request.charged_attempts = input.failed_attempts;
    request.may_have_run = true;
    request.abandoned = scope.now;
    scope.state.requests[request.request.id] = std::move(made);
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
    time_point at = *input.deadline - limits.hand_over_margin;
    std::size_t turn = 0;
    for (request_state* request : open_requests(state))
    {
        if (!request->repeatable)
            continue;
        request->next_successor = turn++;
        request->hand_over_at = std::max(scope.now, at);
        at -= limits.move_spacing;
        schedule(scope, *request);
    }
}

void handle(step_scope& scope, const request_handed_over& input)
{
    if (find_request(scope.state, input.request.id) != nullptr)
        return reply(scope, input, true);
    if (scope.state.drain || input.time_left <= duration::zero())
        return reply(scope, input, false);
    check_result checked = check_request(scope, input.request, input.time_left);
    auto* made = std::get_if<std::unique_ptr<request_state>>(&checked);
    if (made == nullptr || !(*made)->repeatable)
        return reply(scope, input, false);
    request_state& request = adopt(scope, std::move(*made), input);
    record(
        scope,
        event_kind::request_taken_up,
        {request.request.id, {}, {}},
        input.from.value,
        request.produced.count());
    reply(scope, input, true);
    schedule(scope, request);
    place(scope, request);
}

void offer_request(step_scope& scope, request_state& request)
{
    const drain_state& drain = *scope.state.drain;
    request.hand_over_at.reset();
    const std::size_t turn = request.next_successor++ % drain.successors.size();
    const node_id& successor = drain.successors[turn];
    request.handing_over = pending_hand_over{
        successor, scope.now + scope.state.options.limits.hand_over_wait};
    scope.actions.emplace_back(hand_over{successor, state_of(scope, request)});
    schedule(scope, request);
}

void take_back(step_scope& scope, request_state& request)
{
    request.handing_over.reset();
    emit_pieces(scope, request);
    ++request.declined_offers;
    if (scope.state.drain &&
        request.declined_offers < scope.state.drain->successors.size())
        request.hand_over_at = scope.now;
    schedule(scope, request);
}

void handle(step_scope& scope, const hand_over_answered& input)
{
    request_state* request = find_request(scope.state, input.request);
    if (request == nullptr || !request->handing_over)
        return;
    if (!input.taken)
        return take_back(scope, *request);
    const node_id successor = request->handing_over->successor;
    ++scope.state.counters.handed_over;
    record(
        scope,
        event_kind::request_handed_over,
        {request->request.id, {}, {}},
        successor.value,
        request->produced.count());
    if (!request->connection.empty())
        scope.actions.emplace_back(
            answer_moved{request->connection, request->request.id, successor});
    remember_moved(scope.state, request->request.id, successor);
    drop_current_attempt(scope, *request);
    forget(scope, *request);
}

void check_drain(step_scope& scope)
{
    if (!scope.state.drain)
        return;
    drain_state& drain = *scope.state.drain;
    if (drain.deadline && scope.now >= *drain.deadline - last_words)
    {
        for (request_state* request : open_requests(scope.state))
        {
            if (request->phase == request_phase::journalling)
                give_up_unsent(scope, *request);
            fail(scope, *request, {error_kind::draining, {}});
        }
    }
    if (scope.state.open_count > 0 || drain.reported)
        return;
    drain.reported = true;
    scope.actions.emplace_back(drained{});
}

} // namespace bergamotusher::serving
