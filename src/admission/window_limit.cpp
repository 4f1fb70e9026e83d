#include "admission/window_limit.hpp"

#include <algorithm>

namespace bergamotusher::admission
{

namespace
{

/// Number of slices in a window. A slice counts in full until all of it has
/// left the window.
constexpr int slices_per_window = 20;

duration slice_length(const window_bound& bound)
{
    return bound.window / slices_per_window;
}

void drop_expired_slices(
    window_usage& usage, const window_bound& bound, time_point now)
{
    while (!usage.slices.empty() && now - usage.slices.front().begins >=
                                        bound.window + slice_length(bound))
    {
        usage.sum -= usage.slices.front().amount;
        usage.slices.pop_front();
    }
    if (usage.slices.empty())
        usage.sum = 0;
}

} // namespace

double initial_fraction(const window_bound& bound)
{
    return std::min(1.0, 1 / bound.usable_fraction - 1);
}

double window_total(const window_bound& bound, double rate, double burst)
{
    return ((rate * to_seconds(bound.window) + burst) * (1 + bound.overshoot) +
            bound.slack) *
           bound.usable_fraction;
}

double share_of_entry(
    const window_bound& bound,
    double total,
    std::uint32_t entries,
    duration since_start)
{
    const double equal_part = total / std::max<std::uint32_t>(entries, 1);
    return since_start < bound.window ? equal_part * initial_fraction(bound)
                                      : equal_part;
}

double
admitted_within(window_usage& usage, const window_bound& bound, time_point now)
{
    drop_expired_slices(usage, bound, now);
    return usage.sum;
}

std::optional<duration> admit(
    window_usage& usage,
    const window_bound& bound,
    double allowed,
    double amount,
    time_point now,
    large_amount large)
{
    drop_expired_slices(usage, bound, now);
    const bool admit_alone =
        usage.sum <= 0 && large == large_amount::admitted_alone;
    if (usage.sum + amount > allowed && !admit_alone)
    {
        // If none of this entry's slices frees enough, the missing amount is
        // used by other entries; retry after one slice, when some of theirs has
        // expired.
        duration wait = slice_length(bound);
        double freed = 0;
        for (const auto& slice : usage.slices)
        {
            freed += slice.amount;
            wait = slice.begins + bound.window + slice_length(bound) - now;
            if (usage.sum - freed + amount <= allowed)
                break;
        }
        return wait;
    }
    if (usage.slices.empty() ||
        now - usage.slices.back().begins >= slice_length(bound))
        usage.slices.push_back({now, 0});
    usage.slices.back().amount += amount;
    usage.sum += amount;
    return std::nullopt;
}

} // namespace bergamotusher::admission
