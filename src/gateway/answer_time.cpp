#include "gateway/answer_time.hpp"

#include <algorithm>
#include <chrono>

namespace bergamotusher::gateway
{

namespace
{

// The estimator of TCP's retransmission timeout (RFC 6298).
constexpr int mean_weight = 8;
constexpr int deviation_weight = 4;
/// About one of 20 answers takes longer if the times are spread evenly around
/// their mean.
constexpr int deviations_above_mean = 2;

} // namespace

void record_answer_time(answer_times& times, duration time)
{
    if (!times.has_samples)
    {
        times = {time, time / 2, true};
        return;
    }
    const duration error = time - times.mean;
    times.deviation +=
        (std::chrono::abs(error) - times.deviation) / deviation_weight;
    times.mean += error / mean_weight;
}

duration long_answer_time(const answer_times& times, duration without_samples)
{
    return times.has_samples
               ? times.mean + deviations_above_mean * times.deviation
               : without_samples;
}

bool is_likely_to_end(
    duration answer_time, duration time_to_deadline, duration time_to_end)
{
    return std::min(answer_time, time_to_deadline) <= time_to_end;
}

} // namespace bergamotusher::gateway
