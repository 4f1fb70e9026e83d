#include "observe/counters.hpp"

#include <sstream>
#include <string_view>

namespace bergamotusher::observe
{

namespace
{

constexpr std::string_view prefix = "bergamotusher_";

std::string escape_label_value(std::string_view value)
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

std::string format_label(std::string_view name, std::string_view value)
{
    return std::string(name) + "=\"" + escape_label_value(value) + "\"";
}

std::string format_labels(const series_key& key)
{
    return format_label("service", key.service.value) + "," +
           format_label("class", key.work_class.value) + "," +
           format_label("version", key.version.value);
}

void write_header(
    std::ostream& out,
    std::string_view name,
    std::string_view type,
    std::string_view help)
{
    out << "# HELP " << prefix << name << ' ' << help << '\n'
        << "# TYPE " << prefix << name << ' ' << type << '\n';
}

template<class Value>
void write_sample(
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

void write_summary(
    std::ostream& out,
    const std::string& name,
    const std::string& labels,
    const latency_series& series)
{
    const latency_summary summary = summarize(series);
    write_sample(out, name, labels + ",quantile=\"0.5\"", summary.p50);
    write_sample(out, name, labels + ",quantile=\"0.95\"", summary.p95);
    write_sample(out, name, labels + ",quantile=\"0.99\"", summary.p99);
    write_sample(out, name + "_sum", labels, series.sum);
    write_sample(out, name + "_count", labels, series.count);
}

void write_latency_family(
    std::ostream& out,
    const counters& all,
    const std::string& name,
    latency_series request_series::*member,
    std::string_view help)
{
    write_header(out, name, "summary", help);
    for (const auto& [key, series] : all.requests)
        if ((series.*member).count > 0)
            write_summary(out, name, format_labels(key), series.*member);
    const std::string mean = name + "_window_mean";
    write_header(out, mean, "gauge", "Mean over the newest window.");
    for (const auto& [key, series] : all.requests)
        if ((series.*member).count > 0)
            write_sample(
                out, mean, format_labels(key), summarize(series.*member).mean);
}

template<class Value>
void write_counter_family(
    std::ostream& out,
    const counters& all,
    std::string_view name,
    Value request_series::*member,
    std::string_view help)
{
    write_header(out, name, "counter", help);
    for (const auto& [key, series] : all.requests)
        write_sample(out, name, format_labels(key), series.*member);
}

void write_request_families(std::ostream& out, const counters& all)
{
    using s = request_series;
    write_latency_family(
        out,
        all,
        "first_token_seconds",
        &s::first_token,
        "Time from acceptance to the first token.");
    write_latency_family(
        out,
        all,
        "token_gap_seconds",
        &s::token_gap,
        "Mean time between tokens of a request.");
    write_latency_family(
        out,
        all,
        "request_seconds",
        &s::total,
        "Time from acceptance to the last byte.");
    write_counter_family(
        out, all, "requests_total", &s::requests, "Requests ended.");
    write_counter_family(
        out, all, "answered_tokens_total", &s::answered_tokens, "Tokens sent.");
    write_counter_family(
        out,
        all,
        "recomputed_tokens_total",
        &s::recomputed_tokens,
        "Tokens computed again because cached work was lost.");
    write_counter_family(
        out,
        all,
        "cached_tokens_total",
        &s::cached_tokens,
        "Prompt tokens found in a prefix cache.");
    write_counter_family(
        out, all, "cost_total", &s::cost, "Currency units spent.");
}

void write_event_families(std::ostream& out, const counters& all)
{
    write_header(out, "events_total", "counter", "Events by kind.");
    for (const auto& [kind, number] : all.events)
        write_sample(
            out, "events_total", format_label("kind", to_name(kind)), number);
    write_header(out, "errors_total", "counter", "Error answers by kind.");
    for (const auto& [kind, number] : all.errors)
        write_sample(
            out,
            "errors_total",
            format_label("kind", error_answer_for(kind).name),
            number);
    write_header(
        out, "ring_refused_total", "counter", "Values a full ring refused.");
    for (const auto& [queue, number] : all.queue_rejections)
        write_sample(
            out, "ring_refused_total", format_label("ring", queue), number);
    write_header(
        out, "events_overwritten_total", "counter", "Events out of the ring.");
    write_sample(out, "events_overwritten_total", "", all.events_overwritten);
    write_header(
        out, "events_not_written_total", "counter", "Events not on disk.");
    write_sample(out, "events_not_written_total", "", all.events_not_written);
}

void write_gauge_families(std::ostream& out, const counters& all)
{
    for (const auto& [name, value] : all.gauges)
    {
        write_header(out, to_name(name), "gauge", "Published by its duty.");
        write_sample(out, to_name(name), "", value);
    }
}

} // namespace

std::string prometheus_text(const counters& all)
{
    std::ostringstream out;
    // 16 digits print every integer up to 2^53 without rounding.
    out.precision(16);
    write_request_families(out, all);
    write_event_families(out, all);
    write_gauge_families(out, all);
    return out.str();
}

} // namespace bergamotusher::observe
