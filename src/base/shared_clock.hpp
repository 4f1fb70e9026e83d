// Estimates the true time as the median of the wall clocks of several nodes, so
// that one clock that jumps has no effect.
#pragma once

#include <bergamotusher/ids.hpp>
#include <bergamotusher/time.hpp>

#include <cstdint>
#include <map>

namespace bergamotusher
{

/// The latest clock sample of each node: its wall time relative to the uptime
/// of this process. The error is the message delay of a few milliseconds.
struct shared_clock
{
    struct sample
    {
        std::int64_t offset_ms = 0;
        time_point taken_at;
    };
    std::map<node_id, sample> samples;
};

/// Older samples are ignored; nodes report at least once a second.
inline constexpr duration max_sample_age = 5s;

/// Stores the wall time that `node` reported at `now`.
void record_clock_sample(
    shared_clock& clock,
    const node_id& node,
    wall_time reported,
    time_point now);

/// The median of this node's own clock `own` and all samples that are not too
/// old, in milliseconds since the Unix epoch.
std::int64_t
true_time_ms(const shared_clock& clock, wall_time own, time_point now);

} // namespace bergamotusher
