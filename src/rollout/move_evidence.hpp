// Takes the evidence of one step in, without what losses of upstreams excuse.
#pragma once

#include "rollout/version_moves.hpp"

namespace bergamotusher::rollout
{

/// One step under way.
struct step_context
{
    version_move& move;
    move_memory& memory;
    const evidence_view& view;
    const move_policy& policy;
    time_point now;
    wall_time wall;
    bool changed = false;
};

/// Notes whether a failure domain lost two and more than half of its
/// upstreams since the last step.
void watch_domains(step_context& at);

/// Notes whether capacity is short, so that upstreams may be overloaded.
void watch_capacity(step_context& at);

/// Adds the samples of the step to the tests, the old version's first.
void absorb(step_context& at);

} // namespace bergamotusher::rollout
