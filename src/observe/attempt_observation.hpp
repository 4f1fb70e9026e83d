// Converts the record of an attempt at an upstream into the observation that
// the counters add up.
#pragma once

#include "observe/counters.hpp"

#include <bergamotusher/serving.hpp>
#include <bergamotusher/upstream.hpp>

#include <optional>

namespace bergamotusher::observe
{

/// The observation of a successful attempt; `std::nullopt` for a failed one.
/// `target` is the upstream that ran it; the cost is 0 if it is null, which
/// means that the upstream is no longer known.
std::optional<request_observed> make_request_observation(
    const attempt_observed& attempt, const upstream* target);

/// Cost of one slot of `target` for `span`, in currency units.
double slot_cost(const upstream& target, duration span);

} // namespace bergamotusher::observe
