// Estimates how fast the engines of a service process prompts, from the times
// of first tokens. Deployments differ by a factor of five, and no setting tells
// the speed.
//
// The times are fitted by a line over the tokens to process: its intercept is
// the time without any prefill, its slope the time for each token. The line
// follows the medians by steps of bounded size, so that slow upstreams, garbage
// and prompts that were cached against the prediction move it by no more than a
// step each.
#pragma once

#include <vector>

namespace bergamotusher::routing
{

struct prefill_speed_options
{
    /// Prompt tokens per millisecond assumed before anything was observed, and
    /// the bounds of the estimate.
    double initial_tokens_per_ms = 22;
    double min_tokens_per_ms = 1;
    double max_tokens_per_ms = 1000;
    /// Relative size of a step: for the first observation, and the least.
    double first_step = 0.3;
    double min_step = 0.02;
    /// An estimate from fewer observations than this gives way to the one that
    /// the other entries share.
    double trusted_samples = 30;
};

/// An engine's time to the first token is `fixed_ms` and the time for the
/// prompt tokens that it has to process.
struct prefill_speed
{
    double tokens_per_ms = 0;
    double fixed_ms = 0;
    /// Number of observations; 0 means that the speed is unknown.
    double samples = 0;
    /// Typical number of tokens of an observation, and mean distance from it.
    double typical_tokens = 0;
    double token_spread = 0;
};

/// Records a first token that came after `latency_ms`, behind `tokens` prompt
/// tokens that the upstream had to process for this entry, its own included.
void record_first_token(
    const prefill_speed_options& options,
    prefill_speed& speed,
    double tokens,
    double latency_ms);

/// The speed to predict with.
double
tokens_per_ms(const prefill_speed_options& options, const prefill_speed& speed);

/// Predicted time in ms to the first token behind `tokens` prompt tokens.
double first_token_ms(
    const prefill_speed_options& options,
    const prefill_speed& speed,
    double tokens);

/// Replaces an estimate that rests on few observations by the one of other
/// entries.
void adopt_shared_speed(
    const prefill_speed_options& options,
    prefill_speed& speed,
    const prefill_speed& shared);

/// The medians over the estimates of several entries, weighted by their
/// observations; unknown if all are. Estimates that are not finite or out of
/// bounds are ignored.
prefill_speed median_speed(
    const prefill_speed_options& options, std::vector<prefill_speed> estimates);

} // namespace bergamotusher::routing
