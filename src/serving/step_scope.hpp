// Context and basic operations shared by all handlers of `step`: state,
// configuration, current time and the list of actions to return.
#pragma once

#include "serving/life_cycle.hpp"

namespace bergamotusher::serving
{

/// Context of one call of `step`.
struct step_scope
{
    life_cycle& state;
    const serving_context& context;
    time_point now;
    std::vector<serving_action>& actions;
};

/// Subject of a time line event; unused ids are empty.
struct event_subject
{
    request_id request;
    attempt_id attempt;
    upstream_id target;
};

/// Appends an action that writes an event to the time line.
void record(
    step_scope& scope,
    event_kind kind,
    const event_subject& subject,
    std::string detail = {},
    std::uint64_t number = 0);

/// Returns a globally unique attempt id: node, incarnation and a counter.
attempt_id next_attempt_id(life_cycle& state);
/// Returns the next number of the seeded pseudo-random sequence.
std::uint64_t next_draw(life_cycle& state);

/// Changes the phase and updates the queue of waiting requests and the count of
/// open requests.
void set_phase(step_scope& scope, request_state& request, request_phase phase);
/// Recomputes when `tick` must process the request next, and updates the wake
/// queue.
void reschedule(step_scope& scope, request_state& request);
/// Deletes the request and every index entry that points to it.
void erase_request(step_scope& scope, request_state& request);

/// Returns the request with `id`, or null.
request_state* find_request(life_cycle& state, const request_id& id);

/// Time limits for the upstream's first token and for the gap between two
/// tokens. A class with long latency targets gets a multiple of them instead.
duration
first_token_timeout(const life_cycle& state, const request_state& request);
duration
token_gap_timeout(const life_cycle& state, const request_state& request);

/// When the current attempt fails because the upstream sent nothing.
/// `time_point::max()` for an attempt that is not dispatched, or that must not
/// be repeated: such a request can only be resolved by its own connection.
time_point
silence_deadline(const life_cycle& state, const request_state& request);

/// Returns what the entry can claim about whether the request ran.
run_claim claim_of(const request_state& request);

/// Whether each attempt must be recorded in the journal before dispatch.
inline bool needs_journal(const request_state& request)
{
    return !request.repeatable;
}

} // namespace bergamotusher::serving
