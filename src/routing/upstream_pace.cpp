#include "routing/upstream_pace.hpp"

#include <algorithm>
#include <cmath>

namespace bergamotusher::routing
{

namespace
{

constexpr double per_cent = 100;
constexpr double ms_per_s = 1'000;

double decay(duration age, double time_s)
{
    return time_s > 0 ? std::exp(-std::max(to_seconds(age), 0.0) / time_s) : 0;
}

/// Rounds of the slots that end before a request with `ahead` others is done.
double rounds(double ahead, double slots)
{
    return slots > 0 ? 1 + std::max(ahead + 1 - slots, 0.0) / slots : 1;
}

} // namespace

void record_work(
    const upstream_pace_options& options,
    upstream_pace& pace,
    double latency_ms,
    double ahead,
    double slots)
{
    if (!std::isfinite(latency_ms) || latency_ms <= 0)
        return;
    const double work = latency_ms / rounds(ahead, slots);
    if (pace.work_ms <= 0)
        pace.work_ms = work;
    else
        pace.work_ms += options.observation_weight * (work - pace.work_ms);
}

void record_load(
    const upstream_pace_options& options,
    upstream_pace& pace,
    double others,
    time_point now)
{
    const double left =
        pace.has_load
            ? std::min(
                  decay(
                      now - pace.others_at, to_seconds(options.load_mean_time)),
                  1 - options.observation_weight)
            : 0;
    pace.others_mean = left * pace.others_mean + (1 - left) * others;
    pace.others = others;
    pace.others_at = now;
    pace.has_load = true;
}

void record_stated_pace(
    const upstream_pace_options& options,
    upstream_pace& pace,
    double percent,
    time_point now)
{
    const double stated = percent / per_cent;
    if (!(stated >= options.min_pace && stated <= options.max_pace))
        return;
    pace.stated_pace_mean =
        pace.has_stated_pace
            ? pace.stated_pace_mean +
                  options.observation_weight * (stated - pace.stated_pace_mean)
            : stated;
    pace.stated_pace = stated;
    pace.stated_pace_at = now;
    pace.has_stated_pace = true;
}

double others_at(
    const upstream_pace_options& options,
    const upstream_pace& pace,
    double slots,
    time_point now)
{
    if (!pace.has_load || now - pace.others_at > options.load_max_age)
        return 0;
    const double mean =
        slots > 0 ? std::min(pace.others_mean, std::max(slots - 2, 0.0))
                  : pace.others_mean;
    // A queue takes longer to drain than one request takes.
    const double hold_s = pace.work_ms * rounds(pace.others, slots) / ms_per_s;
    return mean + (pace.others - mean) * decay(now - pace.others_at, hold_s);
}

double pace_at(
    const upstream_pace_options& options,
    const upstream_pace& pace,
    time_point now)
{
    if (!pace.has_stated_pace)
        return 1;
    const double share =
        decay(now - pace.stated_pace_at, to_seconds(options.pace_hold_time));
    return pace.stated_pace_mean +
           (pace.stated_pace - pace.stated_pace_mean) * share;
}

double answer_ms(
    const upstream_pace_options& options,
    const upstream_pace& pace,
    double ahead,
    double slots,
    time_point now)
{
    // The work that was seen was done at the mean of the stated pace.
    const double relative = pace.has_stated_pace ? pace_at(options, pace, now) /
                                                       pace.stated_pace_mean
                                                 : 1;
    return pace.work_ms * relative * rounds(ahead, slots);
}

} // namespace bergamotusher::routing
