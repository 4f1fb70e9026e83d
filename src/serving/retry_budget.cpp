#include "serving/retry_budget.hpp"

#include <algorithm>

namespace bergamotusher::serving
{

namespace
{

std::int64_t second_of(time_point now)
{
    return std::chrono::floor<std::chrono::seconds>(now)
        .time_since_epoch()
        .count();
}

retry_bucket& bucket_at(retry_budget& budget, time_point now)
{
    const std::int64_t second = second_of(now);
    const auto size = static_cast<std::int64_t>(retry_window_seconds);
    const std::int64_t slot = ((second % size) + size) % size;
    retry_bucket& bucket = budget.buckets[static_cast<std::size_t>(slot)];
    if (bucket.second != second)
        bucket = {second, 0, 0};
    return bucket;
}

} // namespace

void count_first_attempt(retry_budget& budget, time_point now)
{
    ++bucket_at(budget, now).first_attempts;
}

bool allows_retry(
    const retry_budget& budget, std::uint32_t percent, time_point now)
{
    const std::int64_t newest = second_of(now);
    const auto size = static_cast<std::int64_t>(retry_window_seconds);
    std::uint64_t first_attempts = 0;
    std::uint64_t retries = 0;
    for (const retry_bucket& bucket : budget.buckets)
    {
        if (bucket.second <= newest - size || bucket.second > newest)
            continue;
        first_attempts += bucket.first_attempts;
        retries += bucket.retries;
    }
    if (percent == 0)
        return false;
    return retries <
           std::max(min_retries_per_window, first_attempts * percent / 100);
}

void count_retry(retry_budget& budget, time_point now)
{
    ++bucket_at(budget, now).retries;
}

} // namespace bergamotusher::serving
