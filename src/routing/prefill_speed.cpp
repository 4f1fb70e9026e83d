#include "routing/prefill_speed.hpp"

#include <algorithm>
#include <cmath>

namespace bergamotusher::routing
{

namespace
{

/// Observations further from the typical one than this many mean distances
/// count as if they were at that distance.
constexpr double max_distance = 3;
/// Weight of an observation in the typical number of tokens.
constexpr double min_typical_weight = 0.02;

double bounded(const prefill_speed_options& options, double tokens_per_ms)
{
    return std::clamp(
        tokens_per_ms, options.min_tokens_per_ms, options.max_tokens_per_ms);
}

bool is_valid(const prefill_speed_options& options, const prefill_speed& speed)
{
    return std::isfinite(speed.samples) && speed.samples > 0 &&
           std::isfinite(speed.fixed_ms) && speed.fixed_ms >= 0 &&
           speed.tokens_per_ms >= options.min_tokens_per_ms &&
           speed.tokens_per_ms <= options.max_tokens_per_ms;
}

void record_tokens(prefill_speed& speed, double tokens)
{
    if (speed.token_spread <= 0)
    {
        speed.typical_tokens = tokens;
        speed.token_spread = std::max(tokens / 2, 1.0);
        return;
    }
    const double weight = std::max(1 / (speed.samples + 1), min_typical_weight);
    const double distance = std::min(
        std::abs(tokens - speed.typical_tokens),
        max_distance * speed.token_spread);
    speed.typical_tokens +=
        weight * std::copysign(distance, tokens - speed.typical_tokens);
    speed.token_spread += weight * (distance - speed.token_spread);
    speed.token_spread = std::max(speed.token_spread, 1.0);
}

/// Median of `value` over the estimates, weighted by their observations. The
/// weight of an entry is bounded, so that one that has run for long does not
/// decide alone.
template<class Value>
double weighted_median(
    const prefill_speed_options& options,
    std::vector<prefill_speed>& estimates,
    Value value)
{
    std::sort(
        estimates.begin(),
        estimates.end(),
        [&](const prefill_speed& a, const prefill_speed& b)
        { return value(a) < value(b); });
    const auto weight = [&](const prefill_speed& each)
    {
        return std::min(each.samples, options.trusted_samples);
    };
    double total = 0;
    for (const prefill_speed& each : estimates)
        total += weight(each);
    double below = 0;
    for (const prefill_speed& each : estimates)
    {
        below += weight(each);
        if (below * 2 >= total)
            return value(each);
    }
    return 0;
}

} // namespace

void record_first_token(
    const prefill_speed_options& options,
    prefill_speed& speed,
    double tokens,
    double latency_ms)
{
    if (!(tokens > 0) || !(latency_ms > 0))
        return;
    speed.tokens_per_ms = tokens_per_ms(options, speed);
    record_tokens(speed, tokens);
    const double step = std::max(
        options.first_step / (1 + speed.samples / 4), options.min_step);
    const double direction =
        latency_ms > first_token_ms(options, speed, tokens) ? 1 : -1;
    const double distance = std::clamp(
        (tokens - speed.typical_tokens) / speed.token_spread,
        -max_distance,
        max_distance);
    // The line is moved at the typical number of tokens and turned around that
    // point, so that the two do not work against each other.
    double typical_ms =
        speed.fixed_ms + speed.typical_tokens / speed.tokens_per_ms;
    typical_ms *= std::exp(direction * step);
    speed.tokens_per_ms = bounded(
        options, speed.tokens_per_ms * std::exp(-direction * step * distance));
    speed.fixed_ms = typical_ms - speed.typical_tokens / speed.tokens_per_ms;
    if (speed.fixed_ms < 0)
    {
        speed.fixed_ms = 0;
        speed.tokens_per_ms =
            bounded(options, speed.typical_tokens / typical_ms);
    }
    ++speed.samples;
}

double
tokens_per_ms(const prefill_speed_options& options, const prefill_speed& speed)
{
    return speed.tokens_per_ms > 0 ? speed.tokens_per_ms
                                   : options.initial_tokens_per_ms;
}

double first_token_ms(
    const prefill_speed_options& options,
    const prefill_speed& speed,
    double tokens)
{
    return speed.fixed_ms + tokens / tokens_per_ms(options, speed);
}

void adopt_shared_speed(
    const prefill_speed_options& options,
    prefill_speed& speed,
    const prefill_speed& shared)
{
    if (speed.samples >= options.trusted_samples || !is_valid(options, shared))
        return;
    speed.tokens_per_ms = shared.tokens_per_ms;
    speed.fixed_ms = shared.fixed_ms;
    speed.samples = options.trusted_samples;
}

prefill_speed median_speed(
    const prefill_speed_options& options, std::vector<prefill_speed> estimates)
{
    estimates.erase(
        std::remove_if(
            estimates.begin(),
            estimates.end(),
            [&](const prefill_speed& each)
            { return !is_valid(options, each); }),
        estimates.end());
    if (estimates.empty())
        return {};
    prefill_speed median;
    median.tokens_per_ms = weighted_median(
        options,
        estimates,
        [](const prefill_speed& each) { return each.tokens_per_ms; });
    median.fixed_ms = weighted_median(
        options,
        estimates,
        [](const prefill_speed& each) { return each.fixed_ms; });
    for (const prefill_speed& each : estimates)
        median.samples += std::min(each.samples, options.trusted_samples);
    return median;
}

} // namespace bergamotusher::routing
