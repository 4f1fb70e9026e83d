#include "base/shared_clock.hpp"

#include <algorithm>
#include <vector>

namespace bergamotusher
{

namespace
{

std::int64_t to_milliseconds(time_point now)
{
    constexpr std::int64_t microseconds_per_ms = 1000;
    return now.time_since_epoch().count() / microseconds_per_ms;
}

} // namespace

void record_clock_sample(
    shared_clock& clock,
    const node_id& node,
    wall_time reported,
    time_point now)
{
    clock.samples[node] = {reported.milliseconds - to_milliseconds(now), now};
}

std::int64_t
true_time_ms(const shared_clock& clock, wall_time own, time_point now)
{
    std::vector<std::int64_t> offsets{own.milliseconds - to_milliseconds(now)};
    for (const auto& [node, each] : clock.samples)
        if (now - each.taken_at < max_sample_age)
            offsets.push_back(each.offset_ms);
    const auto median =
        offsets.begin() + static_cast<std::ptrdiff_t>(offsets.size() / 2);
    std::nth_element(offsets.begin(), median, offsets.end());
    return to_milliseconds(now) + *median;
}

} // namespace bergamotusher
