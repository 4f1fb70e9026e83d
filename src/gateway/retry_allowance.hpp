// How many requests to a service may be sent more than once. Each entry keeps
// to a share of the bound by its own count, so that the sum over all entries
// keeps to it without any message between them.
#pragma once

#include <bergamotusher/time.hpp>

#include <cstdint>
#include <deque>

namespace bergamotusher::gateway
{

/// The bound on all entries together.
struct retry_bound
{
    /// Sends beyond the first, for each request in the window.
    double ratio = 0.2;
    duration window = 10s;
    /// Sends beyond the first that are allowed besides, over all entries.
    double extra = 58;
    /// Part of the bound that is used: windows that slide, restarts and
    /// entries that were just added take the rest.
    double used_part = 0.7;
};

/// What one entry counts for one service.
struct retry_allowance
{
    struct slice
    {
        time_point begins;
        std::uint32_t requests = 0;
        std::uint32_t repeats = 0;
    };
    std::deque<slice> slices;
};

void note_request(
    retry_allowance& allowance, const retry_bound& bound, time_point now);

/// Takes one repeat if it is allowed, where `entries` entries share the bound.
bool take_repeat(
    retry_allowance& allowance,
    const retry_bound& bound,
    std::uint32_t entries,
    time_point now);

} // namespace bergamotusher::gateway
