#include "routing/prefill_speed.hpp"

#include <algorithm>
#include <cmath>

namespace bergamotusher::routing
{

namespace
{

double bounded(const prefill_speed_options& options, double tokens_per_ms)
{
    return std::clamp(
        tokens_per_ms, options.min_tokens_per_ms, options.max_tokens_per_ms);
}

bool is_valid(const prefill_speed_options& options, const prefill_speed& speed)
{
    return std::isfinite(speed.samples) && speed.samples > 0 &&
           speed.tokens_per_ms >= options.min_tokens_per_ms &&
           speed.tokens_per_ms <= options.max_tokens_per_ms;
}

} // namespace

void record_first_token(
    const prefill_speed_options& options,
    prefill_speed& speed,
    double tokens,
    double latency_ms)
{
    if (tokens < options.min_sample_tokens)
        return;
    const double prefill_ms =
        std::max(latency_ms - options.fixed_latency_ms, 1.0);
    const double observed = bounded(options, tokens / prefill_ms);
    const double current = tokens_per_ms(options, speed);
    const double step =
        std::max(options.first_step / (1 + speed.samples / 4), options.min_step);
    const double moved =
        observed > current ? current * (1 + step) : current / (1 + step);
    speed.tokens_per_ms = bounded(options, moved);
    ++speed.samples;
}

double
tokens_per_ms(const prefill_speed_options& options, const prefill_speed& speed)
{
    return speed.samples > 0 ? speed.tokens_per_ms
                             : options.initial_tokens_per_ms;
}

void adopt_shared_speed(
    const prefill_speed_options& options,
    prefill_speed& speed,
    double shared_tokens_per_ms)
{
    if (speed.samples >= options.trusted_samples ||
        !std::isfinite(shared_tokens_per_ms) || shared_tokens_per_ms <= 0)
        return;
    speed.tokens_per_ms = bounded(options, shared_tokens_per_ms);
    speed.samples = options.trusted_samples;
}

prefill_speed median_speed(
    const prefill_speed_options& options, std::vector<prefill_speed> estimates)
{
    estimates.erase(
        std::remove_if(
            estimates.begin(),
            estimates.end(),
            [&](const prefill_speed& each) { return !is_valid(options, each); }),
        estimates.end());
    std::sort(
        estimates.begin(),
        estimates.end(),
        [](const prefill_speed& a, const prefill_speed& b)
        { return a.tokens_per_ms < b.tokens_per_ms; });
    // An entry counts with a bounded weight, so that one that has run for long
    // does not decide alone.
    const auto weight = [&](const prefill_speed& each)
    {
        return std::min(each.samples, options.trusted_samples);
    };
    double total = 0;
    for (const prefill_speed& each : estimates)
        total += weight(each);
    prefill_speed median;
    double below = 0;
    for (const prefill_speed& each : estimates)
    {
        below += weight(each);
        if (below * 2 < total)
            continue;
        median = {each.tokens_per_ms, total};
        break;
    }
    return median;
}

} // namespace bergamotusher::routing
