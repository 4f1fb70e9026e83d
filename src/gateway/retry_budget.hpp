// Limits how many requests to a service are sent more than once. Each entry
// applies its share of the limit to its own counts, so that the total over all
// entries stays within the limit without communication between them.
#pragma once

#include <bergamotusher/time.hpp>

#include <cstdint>
#include <deque>

namespace bergamotusher::gateway
{

/// The limit for all entries together.
struct retry_budget_options
{
    /// Retries allowed per request within the window.
    double ratio = 0.2;
    duration window = 10s;
    /// Retries allowed within the window in addition, over all entries.
    double extra = 58;
    /// Fraction of the limit that is used. The rest absorbs sliding windows,
    /// restarts and entries that were just added.
    double usable_fraction = 0.7;
};

/// Counts of one entry for one service.
struct retry_budget
{
    struct time_slice
    {
        time_point start;
        std::uint32_t requests = 0;
        std::uint32_t retries = 0;
    };
    std::deque<time_slice> slices;
};

void record_request(
    retry_budget& budget, const retry_budget_options& options, time_point now);

/// Consumes one retry if the budget allows it; `entries` entries share the
/// limit.
bool try_consume_retry(
    retry_budget& budget,
    const retry_budget_options& options,
    std::uint32_t entries,
    time_point now);

} // namespace bergamotusher::gateway
