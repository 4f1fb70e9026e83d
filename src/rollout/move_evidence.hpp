// Adds the evidence of one step to a move's tests, without results that losses
// of upstreams explain.
#pragma once

#include "rollout/version_moves.hpp"

namespace bergamotusher::rollout
{

/// Arguments and state of one call of `step`.
struct step_context
{
    version_move& move;
    volatile_move_state& memory;
    const evidence_view& view;
    const move_policy& policy;
    time_point now;
    wall_time wall;
    bool changed = false;
};

/// Detects the loss of at least two and more than half of a failure domain's
/// upstreams since the last step; crashes are then ignored for a while.
void update_domain_losses(step_context& context);

/// Detects a shortage of capacity, during which upstreams may be overloaded and
/// latencies are ignored.
void update_capacity_shortage(step_context& context);

/// Adds the samples of the step to the tests. The old version's come first,
/// since they form the baseline.
void add_step_samples(step_context& context);

} // namespace bergamotusher::rollout
