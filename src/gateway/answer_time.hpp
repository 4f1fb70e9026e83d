// How long answers take, as far as earlier ones tell.
#pragma once

#include <bergamotusher/time.hpp>

namespace bergamotusher::gateway
{

/// Mean and mean deviation of the times from a request to the end of its
/// answer; recent answers count most.
struct answer_times
{
    duration mean{};
    duration deviation{};
    bool has_samples = false;
};

void record_answer_time(answer_times& times, duration time);

/// A time that most answers keep; `without_samples` if nothing was recorded.
duration long_answer_time(const answer_times& times, duration without_samples);

/// Whether a request that is sent now is likely to get its answer, or to reach
/// its own deadline, before the process ends the requests that are still open.
bool is_likely_to_end(
    duration answer_time, duration time_to_deadline, duration time_to_end);

} // namespace bergamotusher::gateway
