#include "observe/counters.hpp"

#include <array>
#include <cmath>
#include <iterator>

namespace bergamotusher::observe
{

namespace
{

namespace acc = boost::accumulators;

// Up to this many values a window's quantiles are exact.
constexpr std::size_t exact_values = 256;

// The markers around those that are read keep the estimate close.
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
    // The tail holds all values, the greatest first.
    const auto tail = acc::tail(window);
    return *std::next(tail.begin(), static_cast<long>(values - rank));
}

double quantile(const window_accumulator& window, std::size_t marker)
{
    if (acc::count(window) > exact_values)
        return acc::extended_p_square(window)[static_cast<long>(marker)];
    return exact_quantile(window, marker_probabilities.at(marker));
}

void roll(latency_series& series)
{
    series.previous = series.current;
    series.current = make_window();
}

void add_if(latency_series& series, const std::optional<duration>& value)
{
    if (value)
        add(series, *value);
}

void count_one(counters& all, const request_observed& value)
{
    request_series& series =
        all.requests[{value.service, value.work_class, value.version}];
    add_if(series.first_token, value.first_token);
    add_if(series.token_gap, value.token_gap);
    add_if(series.total, value.total);
    ++series.requests;
    series.answered_tokens += value.answered_tokens;
    series.recomputed_tokens += value.recomputed_tokens;
    series.cached_tokens += value.cached_tokens;
    series.cost += value.cost;
}

void count_one(counters& all, const error_observed& value)
{
    ++all.errors[value.kind];
}

void count_one(counters& all, const ring_observed& value)
{
    all.rings_refused[value.ring] = value.refused;
}

void count_one(counters& all, const gauge_observed& value)
{
    all.gauges[value.name] = value.value;
}

} // namespace

window_accumulator make_window()
{
    return window_accumulator(
        acc::extended_p_square_probabilities = marker_probabilities,
        acc::tag::tail<acc::right>::cache_size = exact_values);
}

void count(counters& all, const observation& value)
{
    std::visit([&all](const auto& one) { count_one(all, one); }, value);
}

void count(counters& all, event_kind kind)
{
    ++all.events[kind];
}

void roll(counters& all, time_point now)
{
    if (!all.window_begun)
        all.window_begun = now;
    if (now - *all.window_begun < summary_window)
        return;
    all.window_begun = now;
    for (auto& [key, series] : all.requests)
    {
        roll(series.first_token);
        roll(series.token_gap);
        roll(series.total);
    }
}

void add(latency_series& series, duration value)
{
    const double seconds = to_seconds(value);
    ++series.count;
    series.sum += seconds;
    series.current(seconds);
}

latency_summary summary_of(const latency_series& series)
{
    const bool whole = acc::count(series.previous) > 0;
    const auto& window = whole ? series.previous : series.current;
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
