// Speed of an upstream, estimated from its answers.
#pragma once

#include <bergamotusher/time.hpp>

#include <cstdint>

namespace bergamotusher::routing
{

/// Linear regression with exponentially decaying weights, kept as sums.
struct decaying_line
{
    double weight = 0;
    double x = 0;
    double y = 0;
    double xx = 0;
    double xy = 0;
    /// The fitted line, updated by `add`.
    double slope = 0;
    double mean_x = 0;
    double mean_y = 0;
};

/// Adds the point (x, y).
void add(decaying_line& line, double x, double y);

/// The value of the line at `x`, at least a tenth of the mean.
double value_at(const decaying_line& line, double x);

/// Speed estimate of one upstream or of a peer group.
struct speed_estimate
{
    /// Prefill rate.
    double prompt_tokens_per_second = 8'000;
    /// First-token latency that does not depend on the prompt.
    double base_seconds = 0.03;
    /// Seconds between tokens as a function of slot utilisation.
    decaying_line gap;
    /// First-token latency that is not explained by the prompt and by this
    /// entry's own dispatches, in seconds; negative if tokens come sooner than
    /// expected.
    double residual_wait_seconds = 0;
    time_point residual_wait_updated_at;
    /// Seconds per token as a function of slot utilisation, from load reports.
    /// Kept apart from `gap`, since load reports also count requests that are
    /// still in prefill.
    decaying_line reported_token_time;
    /// Estimated median time of answers that are not streamed, in seconds.
    double median_answer_seconds = 0;
    std::uint32_t samples = 0;
};

/// The estimate for an upstream without observations.
speed_estimate initial_speed();

/// Updates the estimate from a first-token latency. `backlog_wait_seconds` is
/// the expected wait behind prompts that this entry had dispatched.
void learn_first_token(
    speed_estimate& speed,
    duration seen,
    double recomputed_tokens,
    double own_wait,
    time_point now);

/// Updates the estimate from the mean token gap at a slot utilisation.
void learn_token_gap(
    speed_estimate& speed, duration seen, double slot_utilisation);

/// Updates the median time of answers that are not streamed.
void learn_answer_time(speed_estimate& speed, duration seen);

/// Expected seconds between tokens at a slot utilisation.
double token_gap_seconds(const speed_estimate& speed, double slot_utilisation);

/// The residual wait at `now`, in seconds; decays since its last update.
double residual_wait_at(const speed_estimate& speed, time_point now);

} // namespace bergamotusher::routing
