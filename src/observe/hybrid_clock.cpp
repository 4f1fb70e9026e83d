#include "observe/hybrid_clock.hpp"

#include <algorithm>
#include <charconv>
#include <chrono>
#include <limits>
#include <utility>

namespace bergamotusher::observe
{

namespace
{

template<class T>
bool parse_integer(std::string_view text, T& value)
{
    const char* end = text.data() + text.size();
    const auto result = std::from_chars(text.data(), end, value);
    return result.ec == std::errc{} && result.ptr == end;
}

} // namespace

hybrid_time next(hybrid_clock& clock, std::int64_t wall_ms)
{
    hybrid_time& last = clock.last;
    if (wall_ms > last.wall)
        last = {wall_ms, 0};
    else if (last.logical == std::numeric_limits<std::uint32_t>::max())
        last = {last.wall + 1, 0};
    else
        ++last.logical;
    return last;
}

hybrid_time merge(hybrid_clock& clock, hybrid_time remote, std::int64_t wall_ms)
{
    clock.last = std::max(clock.last, remote);
    return next(clock, wall_ms);
}

std::string to_string(hybrid_time time)
{
    return std::to_string(time.wall) + "." + std::to_string(time.logical);
}

std::optional<hybrid_time> parse_hybrid_time(std::string_view text)
{
    hybrid_time time;
    const auto dot = text.find('.');
    if (!parse_integer(text.substr(0, dot), time.wall))
        return std::nullopt;
    if (dot == std::string_view::npos)
        return time;
    if (!parse_integer(text.substr(dot + 1), time.logical))
        return std::nullopt;
    return time;
}

std::int64_t system_wall_ms()
{
    using namespace std::chrono;
    const auto since_epoch = system_clock::now().time_since_epoch();
    return duration_cast<milliseconds>(since_epoch).count();
}

process_clock::process_clock(std::function<std::int64_t()> wall_ms)
    : wall_ms_(std::move(wall_ms))
{
}

hybrid_time process_clock::next()
{
    const std::lock_guard lock(mutex_);
    return observe::next(clock_, wall_ms_());
}

hybrid_time process_clock::merge(hybrid_time remote)
{
    const std::lock_guard lock(mutex_);
    return observe::merge(clock_, remote, wall_ms_());
}

} // namespace bergamotusher::observe
