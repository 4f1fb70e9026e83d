#include "observe/counters.hpp"

#include <array>
#include <cmath>
#include <iterator>

namespace bergamotusher::observe
{

namespace
{

namespace acc = boost::accumulators;

// Quantiles are exact for windows of up to this many values and estimated for
// larger ones.
constexpr std::size_t max_exact_values = 256;

// Probabilities tracked by the P-square estimator. Those beside 0.5, 0.95 and
// 0.99 are never read, but make the estimates of these three more accurate.
constexpr std::array marker_probabilities{
    0.1, 0.25, 0.5, 0.75, 0.9, 0.95, 0.99, 0.999};
constexpr std::size_t marker_p50 = 2;
constexpr std::size_t marker_p95 = 5;
constexpr std::size_t marker_p99 = 6;

double exact_quantile(const window_accumulator& window, double probability)
{
    const auto values = acc::count(window);
    const auto rank = static_cast<std::size_t>(
        std::ceil(probability * static_cast<double>(values)));
    // Up to `max_exact_values`, the tail holds every value, largest first.
    const auto tail = acc::tail(window);
    return *std::next(tail.begin(), static_cast<long>(values - rank));
}

double quantile(const window_accumulator& window, std::size_t marker)
{
    if (acc::count(window) > max_exact_values)
        return acc::extended_p_square(window)[static_cast<long>(marker)];
    return exact_quantile(window, marker_probabilities.at(marker));
}

void rotate_window(latency_series& series)
{
    series.previous = series.current;
    series.current = make_window();
}

void add_if_present(
    latency_series& series, const std::optional<duration>& value)
{
    if (value)
        add_latency(series, *value);
}

void count_observation(counters& all, const request_observed& value)
{
    request_series& series =
        all.requests[{value.service, value.work_class, value.version}];
    add_if_present(series.first_token, value.first_token);
    add_if_present(series.token_gap, value.token_gap);
    add_if_present(series.total, value.total);
    ++series.requests;
    series.answered_tokens += value.answered_tokens;
    series.recomputed_tokens += value.recomputed_tokens;
    series.cached_tokens += value.cached_tokens;
    series.cost += value.cost;
}

void count_observation(counters& all, const error_observed& value)
{
    ++all.errors[value.kind];
}

void count_observation(counters& all, const queue_rejections_observed& value)
{
    all.queue_rejections[value.queue] = value.rejected;
}

void count_observation(counters& all, const gauge_observed& value)
{
    all.gauges[value.name] = value.value;
}

} // namespace

window_accumulator make_window()
{
    return window_accumulator(
        acc::extended_p_square_probabilities = marker_probabilities,
        acc::tag::tail<acc::right>::cache_size = max_exact_values);
}

void count(counters& all, const observation& value)
{
    std::visit(
        [&all](const auto& alternative)
        { count_observation(all, alternative); },
        value);
}

void count(counters& all, event_kind kind)
{
    ++all.events[kind];
}

void rotate_windows(counters& all, time_point now)
{
    if (!all.window_start)
        all.window_start = now;
    if (now - *all.window_start < summary_window)
        return;
    all.window_start = now;
    for (auto& [key, series] : all.requests)
    {
        rotate_window(series.first_token);
        rotate_window(series.token_gap);
        rotate_window(series.total);
    }
}

void add_latency(latency_series& series, duration value)
{
    const double seconds = to_seconds(value);
    ++series.count;
    series.sum += seconds;
    series.current(seconds);
}

latency_summary summarize(const latency_series& series)
{
    const bool has_previous = acc::count(series.previous) > 0;
    const auto& window = has_previous ? series.previous : series.current;
    latency_summary summary;
    summary.count = acc::count(window);
    if (summary.count == 0)
        return summary;
    summary.mean = acc::mean(window);
    summary.p50 = quantile(window, marker_p50);
    summary.p95 = quantile(window, marker_p95);
    summary.p99 = quantile(window, marker_p99);
    return summary;
}

} // namespace bergamotusher::observe
