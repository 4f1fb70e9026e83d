// Retry budget of a service: retries are limited to a share of its first
// attempts in a sliding window, so that failures do not multiply the load on
// the remaining upstreams.
#pragma once

#include <bergamotusher/time.hpp>

#include <array>
#include <cstdint>

namespace bergamotusher::serving
{

/// Length of the sliding window, with one bucket for each second.
inline constexpr std::size_t retry_window_seconds = 10;
/// Retries that every window allows, so that a service with little traffic can
/// retry.
inline constexpr std::uint64_t min_retries_per_window = 10;

/// Attempts counted within one second.
struct retry_bucket
{
    std::int64_t second = -1;
    std::uint64_t first_attempts = 0;
    std::uint64_t retries = 0;
};

/// Retry budget of one service.
struct retry_budget
{
    std::array<retry_bucket, retry_window_seconds> buckets;
};

void count_first_attempt(retry_budget& budget, time_point now);
/// Whether one more retry keeps within `percent` of the first attempts, or
/// within `min_retries_per_window`; always false if `percent` is 0.
bool allows_retry(
    const retry_budget& budget, std::uint32_t percent, time_point now);
void count_retry(retry_budget& budget, time_point now);

} // namespace bergamotusher::serving
