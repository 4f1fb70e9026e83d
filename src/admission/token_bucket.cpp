#include "admission/token_bucket.hpp"

#include <algorithm>

namespace bergamotusher::admission
{

namespace
{

/// Upper bound of `wait_for`; also its result for an empty bucket with zero
/// rate.
constexpr duration longest_wait = 1min;

void refill(token_bucket& bucket, time_point now)
{
    if (now <= bucket.filled_at)
        return;
    const double gained = to_seconds(now - bucket.filled_at) * bucket.rate;
    bucket.level = std::min(bucket.burst, bucket.level + gained);
    bucket.filled_at = now;
}

} // namespace

token_bucket full_bucket(double rate, double burst, time_point now)
{
    return {rate, burst, burst, now};
}

void set_rate(token_bucket& bucket, double rate, double burst, time_point now)
{
    refill(bucket, now);
    bucket.rate = rate;
    bucket.burst = burst;
    bucket.level = std::min(bucket.level, burst);
}

bool has(token_bucket& bucket, double amount, time_point now)
{
    refill(bucket, now);
    return bucket.level >= std::min(amount, bucket.burst) && bucket.burst > 0;
}

void take(token_bucket& bucket, double amount, time_point now)
{
    refill(bucket, now);
    bucket.level -= amount;
}

duration wait_for(token_bucket& bucket, double amount, time_point now)
{
    refill(bucket, now);
    const double missing = std::min(amount, bucket.burst) - bucket.level;
    if (missing <= 0 && bucket.burst > 0)
        return duration::zero();
    if (bucket.rate <= 0)
        return longest_wait;
    // Adds one microsecond, since `from_seconds` rounds down.
    const duration wait = from_seconds(missing / bucket.rate) + duration{1};
    return std::min<duration>(wait, longest_wait);
}

} // namespace bergamotusher::admission
