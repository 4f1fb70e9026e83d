// Counters of one process: latencies, tokens and cost by service, class of
// work and version; events, errors and rejections by full queues. Exported in
// the Prometheus text format.
#pragma once

#include <bergamotusher/enum_names.hpp>
#include <bergamotusher/error_kind.hpp>
#include <bergamotusher/event.hpp>
#include <bergamotusher/ids.hpp>
#include <bergamotusher/time.hpp>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics.hpp>

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <variant>

namespace bergamotusher::observe
{

/// Length of the window from which latency quantiles are computed.
inline constexpr duration summary_window = 60s;

/// One finished request, as measured at its entry.
struct request_observed
{
    service_name service;
    class_name work_class;
    version_name version;
    std::optional<duration> first_token;
    /// Mean time between two tokens.
    std::optional<duration> token_gap;
    std::optional<duration> total;
    std::uint32_t answered_tokens = 0;
    /// Prompt and answer tokens computed again because cached work was lost.
    std::uint32_t recomputed_tokens = 0;
    std::uint32_t cached_tokens = 0;
    /// Currency units.
    double cost = 0;
};

/// An error answer was sent to a caller.
struct error_observed
{
    error_kind kind = error_kind::internal;
};

/// A bounded queue between two worker threads has rejected `rejected` values
/// since the process started.
struct queue_rejections_observed
{
    std::string queue;
    std::uint64_t rejected = 0;
};

/// A value that a worker thread maintains and publishes.
enum class gauge
{
    control_bytes_sent,
    control_bytes_received,
    control_messages_sent,
    control_messages_received,
    upstreams_known,
    requests_open,
    configuration_revision,
    consensus_term,
    journal_records,
    answers_dropped,
    retries_refused
};

/// Sets a gauge to a new value.
struct gauge_observed
{
    gauge name = gauge::control_bytes_sent;
    double value = 0;
};

using observation = std::variant<
    request_observed,
    error_observed,
    queue_rejections_observed,
    gauge_observed>;

/// Statistics of the latencies of one window, in seconds.
using window_accumulator = boost::accumulators::accumulator_set<
    double,
    boost::accumulators::features<
        boost::accumulators::tag::count,
        boost::accumulators::tag::mean,
        boost::accumulators::tag::extended_p_square,
        boost::accumulators::tag::tail<boost::accumulators::right>>>;

/// An empty window.
window_accumulator make_window();

/// Latencies of one kind: totals since the process started, and the windows
/// from which quantiles are computed.
struct latency_series
{
    std::uint64_t count = 0;
    /// Seconds.
    double sum = 0;
    window_accumulator current = make_window();
    /// The last complete window.
    window_accumulator previous = make_window();
};

/// Statistics of the window of a series, in seconds.
struct latency_summary
{
    std::uint64_t count = 0;
    double mean = 0;
    double p50 = 0;
    double p95 = 0;
    double p99 = 0;
};

/// Labels of the requests that are aggregated into one `request_series`.
struct series_key
{
    service_name service;
    class_name work_class;
    version_name version;

    auto operator<=>(const series_key&) const = default;
};

/// Totals and latencies of the requests with one `series_key`.
struct request_series
{
    latency_series first_token;
    latency_series token_gap;
    latency_series total;
    std::uint64_t requests = 0;
    std::uint64_t answered_tokens = 0;
    std::uint64_t recomputed_tokens = 0;
    std::uint64_t cached_tokens = 0;
    double cost = 0;
};

/// All counters of one process.
struct counters
{
    std::map<series_key, request_series> requests;
    std::map<event_kind, std::uint64_t> events;
    std::map<error_kind, std::uint64_t> errors;
    std::map<std::string, std::uint64_t> queue_rejections;
    std::map<gauge, double> gauges;
    /// Events that newer ones replaced in the bounded time line.
    std::uint64_t events_overwritten = 0;
    /// Events that could not be written to disk.
    std::uint64_t events_not_written = 0;
    std::optional<time_point> window_start;
};

/// Adds `value` to the counters, or sets the gauge that it names.
void count(counters& all, const observation& value);

/// Counts one event of this kind.
void count(counters& all, event_kind kind);

/// Starts a new window for every latency series once the current one is
/// `summary_window` old. Called about once a second.
void rotate_windows(counters& all, time_point now);

void add_latency(latency_series& series, duration value);

/// Statistics of the last complete window, or of the current one if the last
/// is empty.
latency_summary summarize(const latency_series& series);

/// All counters in the Prometheus text format, version 0.0.4.
std::string prometheus_text(const counters& all);

constexpr auto enum_names(gauge)
{
    using g = gauge;
    using row = enum_name<g>;
    return std::array{
        row{g::control_bytes_sent, "control_bytes_sent"},
        row{g::control_bytes_received, "control_bytes_received"},
        row{g::control_messages_sent, "control_messages_sent"},
        row{g::control_messages_received, "control_messages_received"},
        row{g::upstreams_known, "upstreams_known"},
        row{g::requests_open, "requests_open"},
        row{g::configuration_revision, "configuration_revision"},
        row{g::consensus_term, "consensus_term"},
        row{g::journal_records, "journal_records"},
        row{g::answers_dropped, "answers_dropped"},
        row{g::retries_refused, "retries_refused"}};
}

} // namespace bergamotusher::observe
