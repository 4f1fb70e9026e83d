// How many retries a service may have: a share of its first attempts in a
// sliding window, so that failures do not multiply the load on the upstreams
// that are left.
#pragma once

#include <bergamotusher/time.hpp>

#include <array>
#include <cstdint>

namespace bergamotusher::serving
{

/// Length of the sliding window, in seconds; one bucket each.
inline constexpr std::size_t retry_window_seconds = 10;
/// Retries that a window always has, so that a quiet service can retry.
inline constexpr std::uint64_t retry_floor = 10;

/// Counts of one second.
struct retry_bucket
{
    std::int64_t second = -1;
    std::uint64_t first_attempts = 0;
    std::uint64_t retries = 0;
};

/// The budget of one service.
struct retry_budget
{
    std::array<retry_bucket, retry_window_seconds> buckets;
};

/// Counts a first attempt.
void count_first_attempt(retry_budget& budget, time_point now);
/// Whether one more retry is within `percent` of the first attempts.
bool has_retry(
    const retry_budget& budget, std::uint32_t percent, time_point now);
/// Counts a retry.
void count_retry(retry_budget& budget, time_point now);

} // namespace bergamotusher::serving
