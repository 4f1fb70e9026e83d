// Token bucket rate limiter.
#pragma once

#include <bergamotusher/time.hpp>

namespace bergamotusher::admission
{

/// Holds up to `burst` tokens and refills at `rate`.
struct token_bucket
{
    /// Tokens per second.
    double rate = 0;
    /// Capacity in tokens.
    double burst = 0;
    double level = 0;
    time_point filled_at;
};

/// A full bucket.
token_bucket full_bucket(double rate, double burst, time_point now);

/// Changes rate and burst from `now` on; the level stays, up to the new burst.
void set_rate(token_bucket& bucket, double rate, double burst, time_point now);

/// Whether `amount` is available. An amount above the burst counts as the
/// burst.
bool has(token_bucket& bucket, double amount, time_point now);

/// Removes `amount`; the level may become negative if the amount is above the
/// burst.
void take(token_bucket& bucket, double amount, time_point now);

/// Time until `has` returns true.
duration wait_for(token_bucket& bucket, double amount, time_point now);

} // namespace bergamotusher::admission
