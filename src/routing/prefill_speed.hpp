// Estimates how fast the engines of a service process prompts, from the times
// of first tokens. Deployments differ by a factor of five, and no setting tells
// the speed.
//
// The estimate is the median of the observed speeds, followed by steps of a
// fixed size: upstreams that are slow or answer garbage, and prompts that were
// cached against the prediction, move it by no more than a step each.
#pragma once

#include <cstdint>
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
    /// Prompts with fewer tokens to process are dominated by other costs than
    /// their prefill.
    double min_sample_tokens = 1000;
    /// Time in ms of a first token without any prefill.
    double fixed_latency_ms = 10;
    /// Relative size of a step: for the first sample, and the least.
    double first_step = 0.3;
    double min_step = 0.02;
    /// An estimate from fewer samples than this gives way to the one that the
    /// other entries share.
    double trusted_samples = 30;
};

struct prefill_speed
{
    double tokens_per_ms = 0;
    /// Number of observations; 0 means that the speed is unknown.
    double samples = 0;
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

/// Replaces an estimate that rests on few samples by the one of other entries.
void adopt_shared_speed(
    const prefill_speed_options& options,
    prefill_speed& speed,
    double shared_tokens_per_ms);

/// The median over the estimates of several entries, weighted by their samples;
/// unknown if all are. Estimates that are not finite or out of bounds are
/// ignored.
prefill_speed median_speed(
    const prefill_speed_options& options, std::vector<prefill_speed> estimates);

} // namespace bergamotusher::routing
