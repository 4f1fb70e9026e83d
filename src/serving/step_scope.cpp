#include "serving/step_scope.hpp"

#include <algorithm>

namespace bergamotusher::serving
{

namespace
{

/// The limits for the first token and for token gaps are these multiples of the
/// class's latency targets.
constexpr int first_token_timeout_factor = 4;
constexpr int token_gap_timeout_factor = 20;

/// One step of splitmix64; applied to a counter it gives a random sequence.
std::uint64_t splitmix64(std::uint64_t value)
{
    value += 0x9e3779b97f4a7c15ULL;
    value = (value ^ (value >> 30U)) * 0xbf58476d1ce4e5b9ULL;
    value = (value ^ (value >> 27U)) * 0x94d049bb133111ebULL;
    return value ^ (value >> 31U);
}

waiting_key key_of(const request_state& request)
{
    return {
        request.request_class.priority, request.deadline, request.request.id};
}

void dequeue(life_cycle& state, const request_state& request)
{
    const auto queue = state.waiting.find(request.request.service);
    if (queue == state.waiting.end())
        return;
    state.waiting_count -= queue->second.erase(key_of(request));
    if (queue->second.empty())
        state.waiting.erase(queue);
}

time_point next_wake_time(const life_cycle& state, const request_state& request)
{
    if (request.phase == request_phase::ended)
        return request.expires_at;
    if (request.phase == request_phase::failing)
        return request.retry_at;
    time_point next = request.deadline;
    if (request.caller_answered)
        next += state.options.limits.late_answer_timeout;
    const auto apply_limit = [&next](const auto& at)
    {
        if (at.has_value())
            next = std::min(next, *at);
    };
    if (request.phase == request_phase::polling_journal ||
        request.phase == request_phase::delayed)
        next = std::min(next, request.retry_at);
    if (request.phase == request_phase::running && request.attempt)
        next = std::min(next, silence_deadline(state, request));
    if (request.disconnected_at && request.repeatable)
        next = std::min(
            next,
            *request.disconnected_at + state.options.limits.disconnect_grace);
    if (request.pending_offer)
        next = std::min(next, request.pending_offer->expires_at);
    else
        apply_limit(request.hand_over_at);
    apply_limit(request.move_at);
    return next;
}

} // namespace

duration
first_token_timeout(const life_cycle& state, const request_state& request)
{
    return std::max(
        state.options.limits.first_token_timeout,
        request.request_class.first_token * first_token_timeout_factor);
}

duration
token_gap_timeout(const life_cycle& state, const request_state& request)
{
    return std::max(
        state.options.limits.token_gap_timeout,
        request.request_class.token_gap * token_gap_timeout_factor);
}

time_point
silence_deadline(const life_cycle& state, const request_state& request)
{
    const running_attempt& attempt = *request.attempt;
    if (needs_journal(request) || !attempt.dispatched)
        return time_point::max();
    return attempt.last_progress + (attempt.first_token
                                        ? token_gap_timeout(state, request)
                                        : first_token_timeout(state, request));
}

void record(
    step_scope& scope,
    event_kind kind,
    const event_subject& subject,
    std::string detail,
    std::uint64_t number)
{
    event value;
    value.at.wall = scope.context.wall.milliseconds;
    value.kind = kind;
    value.node = scope.state.options.node;
    value.request = subject.request;
    value.attempt = subject.attempt;
    value.target = subject.target;
    value.number = number;
    value.detail = std::move(detail);
    scope.actions.emplace_back(record_event{std::move(value)});
}

attempt_id next_attempt_id(life_cycle& state)
{
    return {
        state.options.node.value + '.' +
        std::to_string(state.options.incarnation) + '.' +
        std::to_string(++state.attempts_made)};
}

std::uint64_t next_draw(life_cycle& state)
{
    return splitmix64(state.options.seed ^ splitmix64(++state.draws_made));
}

void set_phase(step_scope& scope, request_state& request, request_phase phase)
{
    life_cycle& state = scope.state;
    dequeue(state, request);
    if (phase == request_phase::waiting)
        state.waiting_count += state.waiting[request.request.service]
                                   .insert(key_of(request))
                                   .second;
    if (phase == request_phase::ended && request.phase != request_phase::ended)
        --state.open_count;
    request.phase = phase;
}

void reschedule(step_scope& scope, request_state& request)
{
    const time_point next = next_wake_time(scope.state, request);
    if (next == request.wake_at)
        return;
    auto& wakes = scope.state.wake_queue;
    wakes.erase({request.wake_at, request.request.id});
    request.wake_at = next;
    wakes.emplace(next, request.request.id);
}

void erase_request(step_scope& scope, request_state& request)
{
    life_cycle& state = scope.state;
    dequeue(state, request);
    if (request.phase != request_phase::ended)
        --state.open_count;
    state.wake_queue.erase({request.wake_at, request.request.id});
    state.connections.erase(request.connection);
    if (request.attempt)
        state.attempts.erase(request.attempt->id);
    state.total_retained_bytes -= request.retained_bytes;
    const request_id id = request.request.id;
    state.requests.erase(id);
}

request_state* find_request(life_cycle& state, const request_id& id)
{
    const auto found = state.requests.find(id);
    return found == state.requests.end() ? nullptr : found->second.get();
}

run_claim claim_of(const request_state& request)
{
    const bool at_upstream =
        request.attempt.has_value() && request.attempt->dispatched;
    return request.may_have_run || at_upstream ? run_claim::unknown
                                               : run_claim::not_run;
}

} // namespace bergamotusher::serving
