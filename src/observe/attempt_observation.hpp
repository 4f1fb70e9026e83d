// From what the life cycle saw of an attempt to what the counters take.
#pragma once

#include "observe/counters.hpp"

#include <bergamotusher/serving.hpp>
#include <bergamotusher/upstream.hpp>

#include <optional>

namespace bergamotusher::observe
{

/// The observation of an attempt that served its request; nothing for one
/// that failed. `target` is the upstream that ran it, or null if it is not
/// known any more; then no cost is counted.
std::optional<request_observed>
request_of(const attempt_observed& seen, const upstream* target);

/// What one slot of `target` costs for `span`, in currency units.
double slot_cost(const upstream& target, duration span);

} // namespace bergamotusher::observe
