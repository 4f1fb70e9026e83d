#include "observe/ctl/report.hpp"

#include <algorithm>
#include <cmath>
#include <iomanip>
#include <sstream>

namespace bergamotusher::ctl
{

namespace
{

using observe::metric_sample;
using observe::series_key;

constexpr double tokens_per_unit = 1'000;

std::string label_value(const metric_sample& sample, const char* name)
{
    const auto found = sample.labels.find(name);
    return found == sample.labels.end() ? "" : found->second;
}

series_key make_key(const metric_sample& sample)
{
    series_key key;
    key.service.value = label_value(sample, "service");
    key.work_class.value = label_value(sample, "class");
    key.version.value = label_value(sample, "version");
    return key;
}

void add_latency(
    latency_report& latency,
    const metric_sample& sample,
    std::size_t prefix_length)
{
    const std::string suffix = sample.name.substr(prefix_length);
    if (suffix == "_count")
        latency.count += sample.value;
    if (suffix == "_sum")
        latency.sum += sample.value;
    const std::string quantile = label_value(sample, "quantile");
    if (quantile == "0.5")
        latency.p50 = std::max(latency.p50, sample.value);
    if (quantile == "0.95")
        latency.p95 = std::max(latency.p95, sample.value);
    if (quantile == "0.99")
        latency.p99 = std::max(latency.p99, sample.value);
}

struct latency_metric
{
    std::string prefix;
    latency_report request_report::*member;
};

const std::vector<latency_metric>& latency_metrics()
{
    static const std::vector<latency_metric> metrics{
        {"first_token_seconds", &request_report::first_token},
        {"token_gap_seconds", &request_report::token_gap},
        {"request_seconds", &request_report::total}};
    return metrics;
}

struct counter_metric
{
    std::string name;
    double request_report::*member;
};

const std::vector<counter_metric>& counter_metrics()
{
    static const std::vector<counter_metric> metrics{
        {"requests_total", &request_report::requests},
        {"answered_tokens_total", &request_report::answered_tokens},
        {"recomputed_tokens_total", &request_report::recomputed_tokens},
        {"cached_tokens_total", &request_report::cached_tokens},
        {"cost_total", &request_report::cost}};
    return metrics;
}

void add_request_sample(report& all, const metric_sample& sample)
{
    // Metrics without a service label are totals over all services; adding
    // them would count requests twice.
    if (!sample.labels.contains("service"))
        return;
    for (const counter_metric& metric : counter_metrics())
        if (sample.name == metric.name)
            all.requests[make_key(sample)].*metric.member += sample.value;
    for (const latency_metric& metric : latency_metrics())
        if (sample.name.rfind(metric.prefix, 0) == 0)
            add_latency(
                all.requests[make_key(sample)].*metric.member,
                sample,
                metric.prefix.size());
}

void add_move_sample(report& all, const metric_sample& sample)
{
    if (sample.name != "events_total")
        return;
    const std::string kind = label_value(sample, "kind");
    if (kind == to_name(event_kind::move_started))
        all.moves_started += sample.value;
    if (kind == to_name(event_kind::move_completed))
        all.moves_completed += sample.value;
    if (kind == to_name(event_kind::move_taken_back))
        all.moves_taken_back += sample.value;
}

/// Increase of a counter between two readings. A counter that has decreased
/// was reset to zero by a restart.
double counter_increase(double later, double earlier)
{
    return later >= earlier ? later - earlier : later;
}

std::string format_fixed(double value, int digits)
{
    std::ostringstream out;
    out << std::fixed << std::setprecision(digits) << value;
    return out.str();
}

std::string format_integer(double value)
{
    return format_fixed(value, 0);
}

std::string format_milliseconds(const latency_report& latency, double seconds)
{
    constexpr double ms_per_second = 1'000;
    return latency.count > 0 ? format_fixed(seconds * ms_per_second, 1) : "-";
}

double mean_seconds(const latency_report& latency)
{
    return latency.count > 0 ? latency.sum / latency.count : 0;
}

double cost_per_1k(const request_report& stats)
{
    if (stats.answered_tokens <= 0)
        return 0;
    return stats.cost * tokens_per_unit / stats.answered_tokens;
}

void append_latency(
    std::vector<std::string>& row, const latency_report& latency)
{
    row.push_back(format_milliseconds(latency, mean_seconds(latency)));
    row.push_back(format_milliseconds(latency, latency.p50));
    row.push_back(format_milliseconds(latency, latency.p95));
    row.push_back(format_milliseconds(latency, latency.p99));
}

nlohmann::json encode_latency(const latency_report& latency)
{
    return {
        {"count", latency.count},
        {"mean", mean_seconds(latency)},
        {"worst_p50", latency.p50},
        {"worst_p95", latency.p95},
        {"worst_p99", latency.p99}};
}

std::string escape_xml(const std::string& text)
{
    std::string escaped;
    for (const char c : text)
        if (c == '<')
            escaped += "&lt;";
        else if (c == '&')
            escaped += "&amp;";
        else
            escaped += c;
    return escaped;
}

} // namespace

void add_metrics(report& all, const std::vector<metric_sample>& samples)
{
    for (const metric_sample& sample : samples)
    {
        add_request_sample(all, sample);
        add_move_sample(all, sample);
    }
}

report difference(const report& later, const report& earlier)
{
    report result = later;
    for (auto& [key, stats] : result.requests)
    {
        const auto found = earlier.requests.find(key);
        if (found == earlier.requests.end())
            continue;
        for (const counter_metric& metric : counter_metrics())
            stats.*metric.member = counter_increase(
                stats.*metric.member, found->second.*metric.member);
        for (const latency_metric& metric : latency_metrics())
        {
            latency_report& latency = stats.*metric.member;
            const latency_report& previous = found->second.*metric.member;
            latency.count = counter_increase(latency.count, previous.count);
            latency.sum = counter_increase(latency.sum, previous.sum);
        }
    }
    result.moves_started =
        counter_increase(later.moves_started, earlier.moves_started);
    result.moves_completed =
        counter_increase(later.moves_completed, earlier.moves_completed);
    result.moves_taken_back =
        counter_increase(later.moves_taken_back, earlier.moves_taken_back);
    return result;
}

table request_table(const report& all)
{
    table result;
    result.columns = {
        "service",
        "class",
        "version",
        "requests",
        "first mean ms",
        "p50",
        "p95",
        "p99",
        "gap mean ms",
        "p50",
        "p95",
        "p99",
        "tokens",
        "recomputed",
        "cached",
        "cost",
        "cost/1k"};
    for (const auto& [key, stats] : all.requests)
    {
        std::vector<std::string> row{
            key.service.value,
            key.work_class.value,
            key.version.value,
            format_integer(stats.requests)};
        append_latency(row, stats.first_token);
        append_latency(row, stats.token_gap);
        row.push_back(format_integer(stats.answered_tokens));
        row.push_back(format_integer(stats.recomputed_tokens));
        row.push_back(format_integer(stats.cached_tokens));
        row.push_back(format_fixed(stats.cost, 4));
        row.push_back(format_fixed(cost_per_1k(stats), 6));
        result.rows.push_back(std::move(row));
    }
    return result;
}

table move_table(const report& all)
{
    return {
        {"moves started", "completed", "taken back"},
        {{format_integer(all.moves_started),
          format_integer(all.moves_completed),
          format_integer(all.moves_taken_back)}}};
}

nlohmann::json encode_report(const report& all)
{
    nlohmann::json list = nlohmann::json::array();
    for (const auto& [key, stats] : all.requests)
        list.push_back(
            {{"service", key.service.value},
             {"class", key.work_class.value},
             {"version", key.version.value},
             {"requests", stats.requests},
             {"first_token_seconds", encode_latency(stats.first_token)},
             {"token_gap_seconds", encode_latency(stats.token_gap)},
             {"request_seconds", encode_latency(stats.total)},
             {"answered_tokens", stats.answered_tokens},
             {"recomputed_tokens", stats.recomputed_tokens},
             {"cached_tokens", stats.cached_tokens},
             {"cost", stats.cost}});
    return {
        {"requests", std::move(list)},
        {"moves_started", all.moves_started},
        {"moves_completed", all.moves_completed},
        {"moves_taken_back", all.moves_taken_back}};
}

std::string render_svg(const report& all)
{
    constexpr int row_height = 24;
    constexpr int label_width = 320;
    constexpr int bar_width = 400;
    double max_p95 = 0;
    for (const auto& [key, stats] : all.requests)
        max_p95 = std::max(max_p95, stats.first_token.p95);
    std::ostringstream out;
    const std::size_t height = (all.requests.size() + 2) * row_height;
    out << "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"840\" height=\""
        << height << "\" font-family=\"sans-serif\" font-size=\"13\">\n"
        << "<text x=\"8\" y=\"18\">First token, p95 of the slowest entry, "
        << "ms</text>\n";
    int y = row_height;
    for (const auto& [key, stats] : all.requests)
    {
        const double share = max_p95 > 0 ? stats.first_token.p95 / max_p95 : 0;
        const auto width = std::lround(bar_width * share);
        const std::string name = key.service.value + " " +
                                 key.work_class.value + " " + key.version.value;
        out << "<text x=\"8\" y=\"" << y + 17 << "\">" << escape_xml(name)
            << "</text>\n<rect x=\"" << label_width << "\" y=\"" << y + 4
            << "\" width=\"" << width
            << "\" height=\"16\" fill=\"#47a\"/>\n<text x=\""
            << label_width + width + 6 << "\" y=\"" << y + 17 << "\">"
            << format_milliseconds(stats.first_token, stats.first_token.p95)
            << "</text>\n";
        y += row_height;
    }
    out << "</svg>\n";
    return out.str();
}

} // namespace bergamotusher::ctl
