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

std::string label(const metric_sample& sample, const char* name)
{
    const auto found = sample.labels.find(name);
    return found == sample.labels.end() ? "" : found->second;
}

series_key key_of(const metric_sample& sample)
{
    series_key key;
    key.service.value = label(sample, "service");
    key.work_class.value = label(sample, "class");
    key.version.value = label(sample, "version");
    return key;
}

void add_latency(
    latency_report& latency, const metric_sample& sample, std::size_t stem)
{
    const std::string suffix = sample.name.substr(stem);
    if (suffix == "_count")
        latency.count += sample.value;
    if (suffix == "_sum")
        latency.sum += sample.value;
    const std::string quantile = label(sample, "quantile");
    if (quantile == "0.5")
        latency.p50 = std::max(latency.p50, sample.value);
    if (quantile == "0.95")
        latency.p95 = std::max(latency.p95, sample.value);
    if (quantile == "0.99")
        latency.p99 = std::max(latency.p99, sample.value);
}

struct latency_name
{
    std::string stem;
    latency_report request_report::*member;
};

const std::vector<latency_name>& latency_names()
{
    static const std::vector<latency_name> names{
        {"first_token_seconds", &request_report::first_token},
        {"token_gap_seconds", &request_report::token_gap},
        {"request_seconds", &request_report::total}};
    return names;
}

struct total_name
{
    std::string name;
    double request_report::*member;
};

const std::vector<total_name>& total_names()
{
    static const std::vector<total_name> names{
        {"requests_total", &request_report::requests},
        {"answered_tokens_total", &request_report::answered_tokens},
        {"recomputed_tokens_total", &request_report::recomputed_tokens},
        {"cached_tokens_total", &request_report::cached_tokens},
        {"cost_total", &request_report::cost}};
    return names;
}

void add_request_sample(report& all, const metric_sample& sample)
{
    // Totals over all services have no labels.
    if (!sample.labels.contains("service"))
        return;
    for (const total_name& each : total_names())
        if (sample.name == each.name)
            all.requests[key_of(sample)].*each.member += sample.value;
    for (const latency_name& each : latency_names())
        if (sample.name.rfind(each.stem, 0) == 0)
            add_latency(
                all.requests[key_of(sample)].*each.member,
                sample,
                each.stem.size());
}

void add_move_sample(report& all, const metric_sample& sample)
{
    if (sample.name != "events_total")
        return;
    const std::string kind = label(sample, "kind");
    if (kind == to_name(event_kind::move_started))
        all.moves_started += sample.value;
    if (kind == to_name(event_kind::move_completed))
        all.moves_completed += sample.value;
    if (kind == to_name(event_kind::move_taken_back))
        all.moves_taken_back += sample.value;
}

/// A counter that went down was restarted from zero.
double grown(double later, double earlier)
{
    return later >= earlier ? later - earlier : later;
}

std::string fixed(double value, int digits)
{
    std::ostringstream out;
    out << std::fixed << std::setprecision(digits) << value;
    return out.str();
}

std::string whole(double value)
{
    return fixed(value, 0);
}

std::string milliseconds(const latency_report& latency, double seconds)
{
    constexpr double ms_per_second = 1'000;
    return latency.count > 0 ? fixed(seconds * ms_per_second, 1) : "-";
}

double mean_of(const latency_report& latency)
{
    return latency.count > 0 ? latency.sum / latency.count : 0;
}

double cost_per_1k(const request_report& one)
{
    if (one.answered_tokens <= 0)
        return 0;
    return one.cost * tokens_per_unit / one.answered_tokens;
}

void append_latency(
    std::vector<std::string>& row, const latency_report& latency)
{
    row.push_back(milliseconds(latency, mean_of(latency)));
    row.push_back(milliseconds(latency, latency.p50));
    row.push_back(milliseconds(latency, latency.p95));
    row.push_back(milliseconds(latency, latency.p99));
}

nlohmann::json encode_latency(const latency_report& latency)
{
    return {
        {"count", latency.count},
        {"mean", mean_of(latency)},
        {"worst_p50", latency.p50},
        {"worst_p95", latency.p95},
        {"worst_p99", latency.p99}};
}

std::string xml_text(const std::string& text)
{
    std::string safe;
    for (const char c : text)
        if (c == '<')
            safe += "&lt;";
        else if (c == '&')
            safe += "&amp;";
        else
            safe += c;
    return safe;
}

} // namespace

void add(report& all, const std::vector<metric_sample>& samples)
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
    for (auto& [key, one] : result.requests)
    {
        const auto found = earlier.requests.find(key);
        if (found == earlier.requests.end())
            continue;
        for (const total_name& each : total_names())
            one.*each.member =
                grown(one.*each.member, found->second.*each.member);
        for (const latency_name& each : latency_names())
        {
            latency_report& latency = one.*each.member;
            const latency_report& old = found->second.*each.member;
            latency.count = grown(latency.count, old.count);
            latency.sum = grown(latency.sum, old.sum);
        }
    }
    result.moves_started = grown(later.moves_started, earlier.moves_started);
    result.moves_completed =
        grown(later.moves_completed, earlier.moves_completed);
    result.moves_taken_back =
        grown(later.moves_taken_back, earlier.moves_taken_back);
    return result;
}

table request_table(const report& all)
{
    table shown;
    shown.columns = {
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
    for (const auto& [key, one] : all.requests)
    {
        std::vector<std::string> row{
            key.service.value,
            key.work_class.value,
            key.version.value,
            whole(one.requests)};
        append_latency(row, one.first_token);
        append_latency(row, one.token_gap);
        row.push_back(whole(one.answered_tokens));
        row.push_back(whole(one.recomputed_tokens));
        row.push_back(whole(one.cached_tokens));
        row.push_back(fixed(one.cost, 4));
        row.push_back(fixed(cost_per_1k(one), 6));
        shown.rows.push_back(std::move(row));
    }
    return shown;
}

table move_table(const report& all)
{
    return {
        {"moves started", "completed", "taken back"},
        {{whole(all.moves_started),
          whole(all.moves_completed),
          whole(all.moves_taken_back)}}};
}

nlohmann::json encode_report(const report& all)
{
    nlohmann::json list = nlohmann::json::array();
    for (const auto& [key, one] : all.requests)
        list.push_back(
            {{"service", key.service.value},
             {"class", key.work_class.value},
             {"version", key.version.value},
             {"requests", one.requests},
             {"first_token_seconds", encode_latency(one.first_token)},
             {"token_gap_seconds", encode_latency(one.token_gap)},
             {"request_seconds", encode_latency(one.total)},
             {"answered_tokens", one.answered_tokens},
             {"recomputed_tokens", one.recomputed_tokens},
             {"cached_tokens", one.cached_tokens},
             {"cost", one.cost}});
    return {
        {"requests", std::move(list)},
        {"moves_started", all.moves_started},
        {"moves_completed", all.moves_completed},
        {"moves_taken_back", all.moves_taken_back}};
}

std::string draw_report(const report& all)
{
    constexpr int row_height = 24;
    constexpr int label_width = 320;
    constexpr int bar_width = 400;
    double longest = 0;
    for (const auto& [key, one] : all.requests)
        longest = std::max(longest, one.first_token.p95);
    std::ostringstream out;
    const std::size_t height = (all.requests.size() + 2) * row_height;
    out << "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"840\" height=\""
        << height << "\" font-family=\"sans-serif\" font-size=\"13\">\n"
        << "<text x=\"8\" y=\"18\">First token, p95 of the slowest entry, "
        << "ms</text>\n";
    int y = row_height;
    for (const auto& [key, one] : all.requests)
    {
        const double share = longest > 0 ? one.first_token.p95 / longest : 0;
        const auto width = std::lround(bar_width * share);
        const std::string name = key.service.value + " " +
                                 key.work_class.value + " " + key.version.value;
        out << "<text x=\"8\" y=\"" << y + 17 << "\">" << xml_text(name)
            << "</text>\n<rect x=\"" << label_width << "\" y=\"" << y + 4
            << "\" width=\"" << width
            << "\" height=\"16\" fill=\"#47a\"/>\n<text x=\""
            << label_width + width + 6 << "\" y=\"" << y + 17 << "\">"
            << milliseconds(one.first_token, one.first_token.p95)
            << "</text>\n";
        y += row_height;
    }
    out << "</svg>\n";
    return out.str();
}

} // namespace bergamotusher::ctl
