#include "gateway/retry_budget.hpp"

#include <algorithm>

namespace bergamotusher::gateway
{

namespace
{

constexpr int slices_per_window = 20;

retry_budget::time_slice& current_slice(
    retry_budget& budget, const retry_budget_options& options, time_point now)
{
    const duration length = options.window / slices_per_window;
    while (!budget.slices.empty() &&
           now - budget.slices.front().start > options.window)
        budget.slices.pop_front();
    if (budget.slices.empty() || now - budget.slices.back().start >= length)
        budget.slices.push_back({now, 0, 0});
    return budget.slices.back();
}

} // namespace

void record_request(
    retry_budget& budget, const retry_budget_options& options, time_point now)
{
    ++current_slice(budget, options, now).requests;
}

bool try_consume_retry(
    retry_budget& budget,
    const retry_budget_options& options,
    std::uint32_t entries,
    time_point now)
{
    retry_budget::time_slice& current = current_slice(budget, options, now);
    double requests = 0;
    double retries = 0;
    for (const auto& slice : budget.slices)
    {
        requests += slice.requests;
        retries += slice.retries;
    }
    const double allowed =
        options.usable_fraction *
        (options.ratio * requests +
         options.extra / std::max<std::uint32_t>(entries, 1));
    if (retries + 1 > allowed)
        return false;
    ++current.retries;
    return true;
}

} // namespace bergamotusher::gateway
