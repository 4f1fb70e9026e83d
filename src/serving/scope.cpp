#include "serving/scope.hpp"

#include <algorithm>

namespace bergamotusher::serving
{

namespace
{

/// An upstream is silent when it takes so many times its class's target.
constexpr int late_first_token = 4;
constexpr int late_tokens = 20;

/// One step of the splitmix64 sequence: a counter makes a draw.
std::uint64_t mix(std::uint64_t value)
{
    value += 0x9e3779b97f4a7c15ULL;
    value = (value ^ (value >> 30U)) * 0xbf58476d1ce4e5b9ULL;
    value = (value ^ (value >> 27U)) * 0x94d049bb133111ebULL;
    return value ^ (value >> 31U);
}

waiting_key key_of(const request_state& request)
{
    return {request.target.priority, request.deadline, request.request.id};
}

void leave_queue(life_cycle& state, const request_state& request)
{
    const auto queue = state.waiting.find(request.request.service);
    if (queue == state.waiting.end())
        return;
    state.waiting_count -= queue->second.erase(key_of(request));
    if (queue->second.empty())
        state.waiting.erase(queue);
}

time_point next_look(const life_cycle& state, const request_state& request)
{
    if (request.phase == request_phase::ended)
        return request.forget_at;
    time_point next = request.deadline;
    if (request.answered)
        next += state.options.limits.late_answer_wait;
    const auto sooner = [&next](const auto& at)
    {
        if (at.has_value())
            next = std::min(next, *at);
    };
    if (request.phase == request_phase::polling ||
        request.phase == request_phase::holding)
        next = std::min(next, request.retry_at);
    if (request.phase == request_phase::running && request.attempt)
        next = std::min(next, silence_end(state, request));
    if (request.abandoned && request.repeatable)
        next = std::min(
            next, *request.abandoned + state.options.limits.caller_grace);
    if (request.handing_over)
        next = std::min(next, request.handing_over->give_up);
    else
        sooner(request.hand_over_at);
    sooner(request.move_at);
    return next;
}

} // namespace

duration first_silence(const life_cycle& state, const request_state& request)
{
    return std::max(
        state.options.limits.first_silence,
        request.target.first_token * late_first_token);
}

duration token_silence(const life_cycle& state, const request_state& request)
{
    return std::max(
        state.options.limits.token_silence,
        request.target.token_gap * late_tokens);
}

time_point silence_end(const life_cycle& state, const request_state& request)
{
    const running_attempt& attempt = *request.attempt;
    if (needs_journal(request) || !attempt.dispatched)
        return time_point::max();
    return attempt.last_progress + (attempt.first_token
                                        ? token_silence(state, request)
                                        : first_silence(state, request));
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
    return mix(state.options.seed ^ mix(++state.draws_made));
}

void set_phase(step_scope& scope, request_state& request, request_phase phase)
{
    life_cycle& state = scope.state;
    leave_queue(state, request);
    if (phase == request_phase::waiting)
        state.waiting_count += state.waiting[request.request.service]
                                   .insert(key_of(request))
                                   .second;
    if (phase == request_phase::ended && request.phase != request_phase::ended)
        --state.open_count;
    request.phase = phase;
}

void schedule(step_scope& scope, request_state& request)
{
    const time_point next = next_look(scope.state, request);
    if (next == request.wake_at)
        return;
    auto& wakes = scope.state.wakes;
    wakes.erase({request.wake_at, request.request.id});
    request.wake_at = next;
    wakes.emplace(next, request.request.id);
}

void forget(step_scope& scope, request_state& request)
{
    life_cycle& state = scope.state;
    leave_queue(state, request);
    if (request.phase != request_phase::ended)
        --state.open_count;
    state.wakes.erase({request.wake_at, request.request.id});
    state.connections.erase(request.connection);
    if (request.attempt)
        state.attempts.erase(request.attempt->id);
    state.ended_bytes -= request.kept_bytes;
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
