#include "gateway/retry_allowance.hpp"

#include <algorithm>

namespace bergamotusher::gateway
{

namespace
{

constexpr int slices_per_window = 20;

retry_allowance::slice&
slice_at(retry_allowance& allowance, const retry_bound& bound, time_point now)
{
    const duration length = bound.window / slices_per_window;
    while (!allowance.slices.empty() &&
           now - allowance.slices.front().begins > bound.window)
        allowance.slices.pop_front();
    if (allowance.slices.empty() ||
        now - allowance.slices.back().begins >= length)
        allowance.slices.push_back({now, 0, 0});
    return allowance.slices.back();
}

} // namespace

void note_request(
    retry_allowance& allowance, const retry_bound& bound, time_point now)
{
    ++slice_at(allowance, bound, now).requests;
}

bool take_repeat(
    retry_allowance& allowance,
    const retry_bound& bound,
    std::uint32_t entries,
    time_point now)
{
    retry_allowance::slice& current = slice_at(allowance, bound, now);
    double requests = 0;
    double repeats = 0;
    for (const auto& each : allowance.slices)
    {
        requests += each.requests;
        repeats += each.repeats;
    }
    const double allowed =
        bound.used_part * (bound.ratio * requests +
                           bound.extra / std::max<std::uint32_t>(entries, 1));
    if (repeats + 1 > allowed)
        return false;
    ++current.repeats;
    return true;
}

} // namespace bergamotusher::gateway
