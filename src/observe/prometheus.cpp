#include "observe/counters.hpp"

#include <sstream>
#include <string_view>

namespace bergamotusher::observe
{

namespace
{

constexpr std::string_view prefix = "bergamotusher_";

std::string escaped(std::string_view value)
{
    std::string text;
    for (const char c : value)
    {
        if (c == '\\' || c == '"')
            text += '\\';
        text += c == '\n' ? std::string("\\n") : std::string(1, c);
    }
    return text;
}

std::string label(std::string_view name, std::string_view value)
{
    return std::string(name) + "=\"" + escaped(value) + "\"";
}

std::string labels_of(const series_key& key)
{
    return label("service", key.service.value) + "," +
           label("class", key.work_class.value) + "," +
           label("version", key.version.value);
}

void head(
    std::ostream& out,
    std::string_view name,
    std::string_view type,
    std::string_view help)
{
    out << "# HELP " << prefix << name << ' ' << help << '\n'
        << "# TYPE " << prefix << name << ' ' << type << '\n';
}

template<class Value>
void line(
    std::ostream& out,
    std::string_view name,
    const std::string& labels,
    Value value)
{
    out << prefix << name;
    if (!labels.empty())
        out << '{' << labels << '}';
    out << ' ' << value << '\n';
}

void summary_lines(
    std::ostream& out,
    const std::string& name,
    const std::string& labels,
    const latency_series& series)
{
    const latency_summary summary = summary_of(series);
    line(out, name, labels + ",quantile=\"0.5\"", summary.p50);
    line(out, name, labels + ",quantile=\"0.95\"", summary.p95);
    line(out, name, labels + ",quantile=\"0.99\"", summary.p99);
    line(out, name + "_sum", labels, series.sum);
    line(out, name + "_count", labels, series.count);
}

void latency_family(
    std::ostream& out,
    const counters& all,
    const std::string& name,
    latency_series request_series::*member,
    std::string_view help)
{
    head(out, name, "summary", help);
    for (const auto& [key, series] : all.requests)
        if ((series.*member).count > 0)
            summary_lines(out, name, labels_of(key), series.*member);
    const std::string mean = name + "_window_mean";
    head(out, mean, "gauge", "Mean over the newest window.");
    for (const auto& [key, series] : all.requests)
        if ((series.*member).count > 0)
            line(out, mean, labels_of(key), summary_of(series.*member).mean);
}

template<class Value>
void total_family(
    std::ostream& out,
    const counters& all,
    std::string_view name,
    Value request_series::*member,
    std::string_view help)
{
    head(out, name, "counter", help);
    for (const auto& [key, series] : all.requests)
        line(out, name, labels_of(key), series.*member);
}

void request_families(std::ostream& out, const counters& all)
{
    using s = request_series;
    latency_family(
        out,
        all,
        "first_token_seconds",
        &s::first_token,
        "Time from acceptance to the first token.");
    latency_family(
        out,
        all,
        "token_gap_seconds",
        &s::token_gap,
        "Mean time between tokens of a request.");
    latency_family(
        out,
        all,
        "request_seconds",
        &s::total,
        "Time from acceptance to the last byte.");
    total_family(out, all, "requests_total", &s::requests, "Requests ended.");
    total_family(
        out, all, "answered_tokens_total", &s::answered_tokens, "Tokens sent.");
    total_family(
        out,
        all,
        "recomputed_tokens_total",
        &s::recomputed_tokens,
        "Tokens computed again because cached work was lost.");
    total_family(
        out,
        all,
        "cached_tokens_total",
        &s::cached_tokens,
        "Prompt tokens found in a prefix cache.");
    total_family(out, all, "cost_total", &s::cost, "Currency units spent.");
}

void event_families(std::ostream& out, const counters& all)
{
    head(out, "events_total", "counter", "Events by kind.");
    for (const auto& [kind, number] : all.events)
        line(out, "events_total", label("kind", to_name(kind)), number);
    head(out, "errors_total", "counter", "Error answers by kind.");
    for (const auto& [kind, number] : all.errors)
        line(out, "errors_total", label("kind", answer_of(kind).name), number);
    head(out, "ring_refused_total", "counter", "Values a full ring refused.");
    for (const auto& [ring, number] : all.rings_refused)
        line(out, "ring_refused_total", label("ring", ring), number);
    head(out, "events_overwritten_total", "counter", "Events out of the ring.");
    line(out, "events_overwritten_total", "", all.events_overwritten);
    head(out, "events_not_written_total", "counter", "Events not on disk.");
    line(out, "events_not_written_total", "", all.events_not_written);
}

void gauge_families(std::ostream& out, const counters& all)
{
    for (const auto& [name, value] : all.gauges)
    {
        head(out, to_name(name), "gauge", "Published by its duty.");
        line(out, to_name(name), "", value);
    }
}

} // namespace

std::string prometheus_text(const counters& all)
{
    std::ostringstream out;
    // Whole numbers up to 2^53 must not be rounded.
    out.precision(16);
    request_families(out, all);
    event_families(out, all);
    gauge_families(out, all);
    return out.str();
}

} // namespace bergamotusher::observe
