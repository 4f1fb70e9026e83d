// How fast an upstream computes, learned from its answers.
#pragma once

#include <bergamotusher/time.hpp>

#include <cstdint>

namespace bergamotusher::routing
{

/// Sums of a regression line with exponentially decaying weights.
struct decaying_line
{
    double weight = 0;
    double x = 0;
    double y = 0;
    double xx = 0;
    double xy = 0;
    /// The line that the sums give, kept by `add`.
    double slope = 0;
    double mean_x = 0;
    double mean_y = 0;
};

/// Adds the point (x, y).
void add(decaying_line& line, double x, double y);

/// The line's value at `x`; never below a tenth of the mean.
double value_at(const decaying_line& line, double x);

/// What an upstream has shown of its speed.
struct speed_estimate
{
    /// Prompt tokens computed a second.
    double prompt_tokens_per_second = 8'000;
    /// Time to the first token that does not depend on the prompt.
    double base_seconds = 0.03;
    /// Seconds between tokens, over the share of slots in use.
    decaying_line gap;
    /// How much later first tokens come than own dispatches explain, in
    /// seconds; negative if sooner.
    double unexplained_wait = 0;
    time_point wait_at;
    /// The same by load reports, which count requests that still compute
    /// their prompts.
    decaying_line pace;
    /// Median time of answers that are not streams, in seconds.
    double whole_seconds = 0;
    std::uint32_t samples = 0;
};

/// An estimate with the assumptions for an upstream that nothing is known of.
speed_estimate initial_speed();

/// Learns from the time to a first token. `own_wait` is the wait that the
/// backlog of own dispatches explains, in seconds.
void learn_first_token(
    speed_estimate& speed,
    duration seen,
    double recomputed_tokens,
    double own_wait,
    time_point now);

/// Learns from the mean gap between tokens at a share of slots in use.
void learn_gap(speed_estimate& speed, duration seen, double used_share);

/// Learns from the time to a whole answer that is not a stream.
void learn_whole_answer(speed_estimate& speed, duration seen);

/// Seconds between tokens at this share of slots in use.
double gap_at(const speed_estimate& speed, double used_share);

/// Seconds of unexplained wait now: what was seen last, fading away.
double wait_at(const speed_estimate& speed, time_point now);

} // namespace bergamotusher::routing
