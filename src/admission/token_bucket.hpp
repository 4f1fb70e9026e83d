// A token bucket: how much may still be used of a rate.
#pragma once

#include <bergamotusher/time.hpp>

namespace bergamotusher::admission
{

/// Holds up to one `burst` and fills at `rate`.
struct token_bucket
{
    /// Tokens a second.
    double rate = 0;
    /// Most tokens that it holds.
    double burst = 0;
    double level = 0;
    time_point filled_at;
};

/// A full bucket.
token_bucket full_bucket(double rate, double burst, time_point now);

/// Changes rate and burst from now on; what is held stays, up to the burst.
void set_rate(token_bucket& bucket, double rate, double burst, time_point now);

/// Whether `amount` is there. An amount above the burst counts as the burst.
bool has(token_bucket& bucket, double amount, time_point now);

/// Takes `amount`, which may leave a debt if it is above the burst.
void take(token_bucket& bucket, double amount, time_point now);

/// Time until `has` is true.
duration wait_for(token_bucket& bucket, double amount, time_point now);

} // namespace bergamotusher::admission
