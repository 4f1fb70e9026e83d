// What an entry knows of an upstream's load and pace between two answers.
//
// An entry that is one of many hears from an upstream rarely, while a short
// request leaves its slot after a few milliseconds. So a report says how the
// queue is only for about the time that it takes to drain; after that the mean
// of the reports says more, and it never says that an upstream is full.
#pragma once

#include <bergamotusher/time.hpp>

#include <optional>

namespace bergamotusher::routing
{

struct upstream_pace_options
{
    /// Weight of a new observation in the means.
    double observation_weight = 0.125;
    /// Time constant of the mean of the reported load.
    duration load_mean_time = 1s;
    /// Without a report for this long, nothing is known of other entries' load.
    duration load_max_age = 2s;
    /// A stated pace holds for about this long; after that its mean counts.
    duration pace_hold_time = 100ms;
    /// Bounds of a stated pace that is believed; 1 is the usual one.
    double min_pace = 0.1;
    double max_pace = 20;
};

/// An entry's record of the pace of one upstream.
struct upstream_pace
{
    /// Mean time in ms for which a request occupies a slot; 0 if unknown. Only
    /// answers that are not streams tell it.
    double work_ms = 0;
    /// The last reported number of requests of other entries, and the mean.
    double others = 0;
    double others_mean = 0;
    time_point others_at;
    bool has_load = false;
    /// How long work takes now, as stated, as a multiple of the usual time.
    double stated_pace = 1;
    double stated_pace_mean = 1;
    time_point stated_pace_at;
    bool has_stated_pace = false;
};

/// Records an answer that came `latency_ms` after its request was sent, when
/// `ahead` others were estimated at the upstream.
void record_work(
    const upstream_pace_options& options,
    upstream_pace& pace,
    double latency_ms,
    double ahead,
    double slots);

/// Records the number of requests of other entries at the upstream.
void record_load(
    const upstream_pace_options& options,
    upstream_pace& pace,
    double others,
    time_point now);

/// Records a stated pace in percent; one out of bounds is not believed.
void record_stated_pace(
    const upstream_pace_options& options,
    upstream_pace& pace,
    double percent,
    time_point now);

/// Estimated number of requests of other entries at the upstream, for an
/// upstream whose `work_ms` is known; `slots` is 0 if unknown.
double others_at(
    const upstream_pace_options& options,
    const upstream_pace& pace,
    double slots,
    time_point now);

/// How long work takes at `now`, as a multiple of the usual time.
double pace_at(
    const upstream_pace_options& options,
    const upstream_pace& pace,
    time_point now);

/// Predicted time in ms to the answer of a request that finds `ahead` others,
/// without transit.
double answer_ms(
    const upstream_pace_options& options,
    const upstream_pace& pace,
    double ahead,
    double slots,
    time_point now);

} // namespace bergamotusher::routing
