#include "routing/speed.hpp"

#include <algorithm>
#include <cmath>

namespace bergamotusher::routing
{

namespace
{

/// Factor on the weight of older points for each new one.
constexpr double line_decay = 0.98;
/// Weight of the points that represent the initial assumption.
constexpr double assumption_weight = 2;
/// Token gap assumed for an idle and for a fully loaded upstream.
constexpr double assumed_idle_gap_seconds = 0.015;
constexpr double assumed_full_gap_seconds = 0.035;
/// A sample never exceeds the true rate, since it includes waiting, so the
/// estimate tracks the 90th percentile: steps up are nine times as large as
/// steps down.
constexpr double step_up = 0.09;
constexpr double step_down = 0.01;
/// Factor on the step size during the first `initial_samples` samples.
constexpr double initial_step_factor = 4;
constexpr std::uint32_t initial_samples = 32;
/// Prompts shorter than this do not update the prefill rate.
constexpr double min_prompt_tokens = 512;
/// Nor do first tokens whose latency was to more than this share queueing.
constexpr double max_wait_share = 0.2;
/// Equal steps up and down converge to the median.
constexpr double median_step = 0.05;
constexpr double wait_weight = 0.3;
/// Half-life of the residual wait.
constexpr double wait_half_life_seconds = 2;
constexpr double min_prompt_tokens_per_second = 50;
constexpr double max_prompt_tokens_per_second = 1'000'000;

void fit_line(decaying_line& line)
{
    line.mean_x = line.x / line.weight;
    line.mean_y = line.y / line.weight;
    const double variance = line.xx / line.weight - line.mean_x * line.mean_x;
    const double covariance = line.xy / line.weight - line.mean_x * line.mean_y;
    line.slope = variance > 1e-6 ? std::max(0.0, covariance / variance) : 0;
}

void add_weighted(decaying_line& line, double x, double y, double weight)
{
    line.weight += weight;
    line.x += weight * x;
    line.y += weight * y;
    line.xx += weight * x * x;
    line.xy += weight * x * y;
    fit_line(line);
}

void learn_rate(speed_estimate& speed, double sample)
{
    const double scale =
        speed.samples < initial_samples ? initial_step_factor : 1;
    const bool faster = sample > speed.prompt_tokens_per_second;
    const double factor = faster ? 1 + scale * step_up : 1 - scale * step_down;
    speed.prompt_tokens_per_second = std::clamp(
        speed.prompt_tokens_per_second * factor,
        min_prompt_tokens_per_second,
        max_prompt_tokens_per_second);
}

} // namespace

void add(decaying_line& line, double x, double y)
{
    line.weight *= line_decay;
    line.x *= line_decay;
    line.y *= line_decay;
    line.xx *= line_decay;
    line.xy *= line_decay;
    add_weighted(line, x, y, 1);
}

double value_at(const decaying_line& line, double x)
{
    const double value = line.mean_y + line.slope * (x - line.mean_x);
    return std::max(value, line.mean_y / 10);
}

speed_estimate initial_speed()
{
    speed_estimate speed;
    add_weighted(speed.gap, 0, assumed_idle_gap_seconds, assumption_weight);
    add_weighted(speed.gap, 1, assumed_full_gap_seconds, assumption_weight);
    return speed;
}

void learn_first_token(
    speed_estimate& speed,
    duration seen,
    double recomputed_tokens,
    double own_wait,
    time_point now)
{
    const double seconds = std::max(to_seconds(seen), 0.001);
    if (recomputed_tokens >= min_prompt_tokens &&
        own_wait < max_wait_share * seconds)
        learn_rate(speed, recomputed_tokens / seconds);
    const double expected = speed.base_seconds + own_wait +
                            recomputed_tokens / speed.prompt_tokens_per_second;
    const double known = residual_wait_at(speed, now);
    speed.residual_wait_seconds =
        known + wait_weight * (seconds - expected - known);
    speed.residual_wait_updated_at = now;
    ++speed.samples;
}

void learn_token_gap(
    speed_estimate& speed, duration seen, double slot_utilisation)
{
    add(speed.gap, std::clamp(slot_utilisation, 0.0, 2.0), to_seconds(seen));
}

void learn_answer_time(speed_estimate& speed, duration seen)
{
    const double seconds = to_seconds(seen);
    if (speed.median_answer_seconds <= 0)
        speed.median_answer_seconds = seconds;
    else if (seconds > speed.median_answer_seconds)
        speed.median_answer_seconds *= 1 + median_step;
    else
        speed.median_answer_seconds *= 1 - median_step;
}

double token_gap_seconds(const speed_estimate& speed, double slot_utilisation)
{
    return value_at(speed.gap, std::clamp(slot_utilisation, 0.0, 2.0));
}

double residual_wait_at(const speed_estimate& speed, time_point now)
{
    const double age =
        std::max(0.0, to_seconds(now - speed.residual_wait_updated_at));
    return speed.residual_wait_seconds *
           std::exp2(-age / wait_half_life_seconds);
}

} // namespace bergamotusher::routing
