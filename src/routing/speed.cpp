#include "routing/speed.hpp"

#include <algorithm>
#include <cmath>

namespace bergamotusher::routing
{

namespace
{

/// What is left of a point's weight with each newer one.
constexpr double line_decay = 0.98;
/// Weight of the points that stand for the initial assumption.
constexpr double assumption_weight = 2;
/// Seconds between tokens on an idle and on a full upstream, until known.
constexpr double assumed_idle_gap = 0.015;
constexpr double assumed_full_gap = 0.035;
/// A sample is at most the true rate, so the estimate follows their 90th
/// percentile: it takes large steps up and small ones down.
constexpr double step_up = 0.09;
constexpr double step_down = 0.01;
/// The steps are longer by this factor for the first samples.
constexpr double first_steps = 4;
constexpr std::uint32_t first_samples = 32;
/// Prompts below this say nothing on the prompt rate.
constexpr double least_prompt_tokens = 512;
/// Nor do first tokens of which more than this share was waiting.
constexpr double telling_wait = 0.2;
/// Steps of equal length up and down lead to the median.
constexpr double median_step = 0.05;
constexpr double wait_weight = 0.3;
/// The unexplained wait falls by half in this time, in seconds.
constexpr double wait_half_life = 2;
constexpr double slowest_rate = 50;
constexpr double fastest_rate = 1'000'000;

void fit(decaying_line& line)
{
    line.mean_x = line.x / line.weight;
    line.mean_y = line.y / line.weight;
    const double spread = line.xx / line.weight - line.mean_x * line.mean_x;
    const double joint = line.xy / line.weight - line.mean_x * line.mean_y;
    line.slope = spread > 1e-6 ? std::max(0.0, joint / spread) : 0;
}

void add_weighted(decaying_line& line, double x, double y, double weight)
{
    line.weight += weight;
    line.x += weight * x;
    line.y += weight * y;
    line.xx += weight * x * x;
    line.xy += weight * x * y;
    fit(line);
}

void learn_rate(speed_estimate& speed, double sample)
{
    const double scale = speed.samples < first_samples ? first_steps : 1;
    const bool faster = sample > speed.prompt_tokens_per_second;
    const double factor = faster ? 1 + scale * step_up : 1 - scale * step_down;
    speed.prompt_tokens_per_second = std::clamp(
        speed.prompt_tokens_per_second * factor, slowest_rate, fastest_rate);
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
    add_weighted(speed.gap, 0, assumed_idle_gap, assumption_weight);
    add_weighted(speed.gap, 1, assumed_full_gap, assumption_weight);
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
    if (recomputed_tokens >= least_prompt_tokens &&
        own_wait < telling_wait * seconds)
        learn_rate(speed, recomputed_tokens / seconds);
    const double expected = speed.base_seconds + own_wait +
                            recomputed_tokens / speed.prompt_tokens_per_second;
    const double known = wait_at(speed, now);
    speed.unexplained_wait = known + wait_weight * (seconds - expected - known);
    speed.wait_at = now;
    ++speed.samples;
}

void learn_gap(speed_estimate& speed, duration seen, double used_share)
{
    add(speed.gap, std::clamp(used_share, 0.0, 2.0), to_seconds(seen));
}

void learn_whole_answer(speed_estimate& speed, duration seen)
{
    const double seconds = to_seconds(seen);
    if (speed.whole_seconds <= 0)
        speed.whole_seconds = seconds;
    else if (seconds > speed.whole_seconds)
        speed.whole_seconds *= 1 + median_step;
    else
        speed.whole_seconds *= 1 - median_step;
}

double gap_at(const speed_estimate& speed, double used_share)
{
    return value_at(speed.gap, std::clamp(used_share, 0.0, 2.0));
}

double wait_at(const speed_estimate& speed, time_point now)
{
    const double age = std::max(0.0, to_seconds(now - speed.wait_at));
    return speed.unexplained_wait * std::exp2(-age / wait_half_life);
}

} // namespace bergamotusher::routing
