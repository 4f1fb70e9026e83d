// The two kinds of time that the system uses.
//
// Decisions take a `time_point` as an argument and never read a clock. It
// counts from an arbitrary start, never goes back, and means nothing on
// another instance. `wall_time` is what operators read and what replicated
// commands carry.
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

/// The number of seconds in `span`, with fractions.
constexpr double to_seconds(duration span)
{
    return std::chrono::duration<double>(span).count();
}

/// The span of `seconds`, rounded towards zero to a microsecond.
constexpr duration from_seconds(double seconds)
{
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(seconds));
}

} // namespace bergamotusher
