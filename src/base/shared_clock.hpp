// True time from the times of day of several nodes: a clock that jumps is
// outvoted by the others.
#pragma once

#include <bergamotusher/ids.hpp>
#include <bergamotusher/time.hpp>

#include <cstdint>
#include <map>

namespace bergamotusher
{

/// What a node's clock said, against the uptime here. Messages take a few
/// milliseconds, which is the error.
struct shared_clock
{
    struct sample
    {
        std::int64_t offset_ms = 0;
        time_point taken_at;
    };
    std::map<node_id, sample> samples;
};

/// A sample counts for so long; nodes report at least once a second.
inline constexpr duration sample_life = 5s;

void note_clock(
    shared_clock& clock, const node_id& node, wall_time said, time_point now);

/// The median of all samples that count, this node's own clock `own` among
/// them, as milliseconds since 1970.
std::int64_t
true_time_ms(const shared_clock& clock, wall_time own, time_point now);

} // namespace bergamotusher
