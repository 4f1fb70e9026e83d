#include "base/clock.hpp"

#include <ctime>

namespace bergamotusher
{

namespace
{

constexpr std::int64_t microseconds_per_second = 1'000'000;
constexpr std::int64_t nanoseconds_per_microsecond = 1'000;

std::int64_t read_clock(clockid_t clock)
{
    timespec value{};
    ::clock_gettime(clock, &value);
    return value.tv_sec * microseconds_per_second +
           value.tv_nsec / nanoseconds_per_microsecond;
}

} // namespace

time_point uptime()
{
    return time_point(duration(read_clock(CLOCK_BOOTTIME)));
}

wall_time time_of_day()
{
    return {read_clock(CLOCK_REALTIME) / 1'000};
}

duration thread_processor_time()
{
    return duration(read_clock(CLOCK_THREAD_CPUTIME_ID));
}

duration process_processor_time()
{
    return duration(read_clock(CLOCK_PROCESS_CPUTIME_ID));
}

} // namespace bergamotusher
