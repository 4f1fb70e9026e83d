// Time types.
//
// Functions that make decisions take a `time_point` argument and never read a
// clock. A `time_point` counts from an arbitrary start, never decreases, and is
// not comparable between instances. `wall_time` is shown to operators and
// carried in replicated commands.
#pragma once

#include <chrono>
#include <cstdint>

namespace bergamotusher
{

using namespace std::chrono_literals;

/// A span of time, in microseconds.
using duration = std::chrono::microseconds;

/// A local, monotonic point in time, in microseconds.
using time_point = std::chrono::time_point<std::chrono::steady_clock, duration>;

/// Milliseconds since the Unix epoch, UTC.
struct wall_time
{
    std::int64_t milliseconds = 0;

    auto operator<=>(const wall_time&) const = default;
};

/// Converts to seconds, with fractions.
constexpr double to_seconds(duration span)
{
    return std::chrono::duration<double>(span).count();
}

/// Converts from seconds, rounded towards zero to a microsecond.
constexpr duration from_seconds(double seconds)
{
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(seconds));
}

} // namespace bergamotusher
