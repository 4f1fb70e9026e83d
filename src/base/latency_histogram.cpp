#include <bergamotusher/evidence.hpp>

#include <algorithm>
#include <cmath>

namespace bergamotusher
{

std::size_t latency_bucket_of(duration value)
{
    if (value < latency_bucket_base)
        return 0;
    const double ratio = to_seconds(value) / to_seconds(latency_bucket_base);
    const auto bucket = static_cast<std::size_t>(
                            latency_buckets_per_doubling * std::log2(ratio)) +
                        1;
    return std::min(bucket, latency_buckets - 1);
}

void add(latency_histogram& histogram, duration value)
{
    ++histogram.counts[latency_bucket_of(value)];
}

void add(latency_histogram& histogram, const latency_histogram& other)
{
    for (std::size_t i = 0; i < latency_buckets; ++i)
        histogram.counts[i] += other.counts[i];
}

} // namespace bergamotusher
