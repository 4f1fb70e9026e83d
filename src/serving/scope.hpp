// What the parts of the life cycle share while one input is taken: the state,
// the context, the time and the list of actions; and the small operations
// that all of them need.
#pragma once

#include "serving/life_cycle.hpp"

namespace bergamotusher::serving
{

/// One call of `step`.
struct step_scope
{
    life_cycle& state;
    const serving_context& context;
    time_point now;
    std::vector<serving_action>& actions;
};

/// What an event of the time line is about.
struct event_subject
{
    request_id request;
    attempt_id attempt;
    upstream_id target;
};

/// Adds an event to the time line.
void record(
    step_scope& scope,
    event_kind kind,
    const event_subject& subject,
    std::string detail = {},
    std::uint64_t number = 0);

/// An attempt id that no entry has used or will use.
attempt_id next_attempt_id(life_cycle& state);
/// The next number of the seeded sequence of draws.
std::uint64_t next_draw(life_cycle& state);

/// Changes the phase and keeps the queue of waiting requests in step.
void set_phase(step_scope& scope, request_state& request, request_phase phase);
/// Computes the time at which `tick` must look at the request next.
void schedule(step_scope& scope, request_state& request);
/// Removes the request and all that points to it.
void forget(step_scope& scope, request_state& request);

/// The request called `id`, or null.
request_state* find_request(life_cycle& state, const request_id& id);

/// How long the request's upstream may be silent before its first byte, and
/// between two tokens; a class with slow targets allows more.
duration first_silence(const life_cycle& state, const request_state& request);
duration token_silence(const life_cycle& state, const request_state& request);

/// When the current attempt counts as silent; never for one that may not be
/// repeated, whose connection alone can still tell.
time_point silence_end(const life_cycle& state, const request_state& request);

/// What may be said of whether the request ran.
run_claim claim_of(const request_state& request);

/// Whether each attempt must be in the journal before it is sent.
inline bool needs_journal(const request_state& request)
{
    return !request.repeatable;
}

} // namespace bergamotusher::serving
