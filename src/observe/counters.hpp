// Counters of one process: latencies by class of work and version, tokens,
// cost, events, errors and full rings. Served as Prometheus text.
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

/// The span over which latencies are summed up.
inline constexpr duration summary_window = 60s;

/// One finished request, as its entry saw it.
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

/// An error answer was given.
struct error_observed
{
    error_kind kind = error_kind::internal;
};

/// A ring between two duties refused this many values since the start.
struct ring_observed
{
    std::string ring;
    std::uint64_t refused = 0;
};

/// A number that a duty keeps for itself and publishes.
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

/// The value of a gauge from now on.
struct gauge_observed
{
    gauge name = gauge::control_bytes_sent;
    double value = 0;
};

using observation = std::
    variant<request_observed, error_observed, ring_observed, gauge_observed>;

/// Boost.Accumulators over the values of one window, in seconds.
using window_accumulator = boost::accumulators::accumulator_set<
    double,
    boost::accumulators::features<
        boost::accumulators::tag::count,
        boost::accumulators::tag::mean,
        boost::accumulators::tag::extended_p_square,
        boost::accumulators::tag::tail<boost::accumulators::right>>>;

/// An empty window.
window_accumulator make_window();

/// Latencies of one kind: totals since the start, and the windows from which
/// quantiles are read.
struct latency_series
{
    std::uint64_t count = 0;
    /// Seconds.
    double sum = 0;
    window_accumulator current = make_window();
    /// The last whole window.
    window_accumulator previous = make_window();
};

/// What a series shows of its newest window, in seconds.
struct latency_summary
{
    std::uint64_t count = 0;
    double mean = 0;
    double p50 = 0;
    double p95 = 0;
    double p99 = 0;
};

/// Names the latencies and tokens that are summed up together.
struct series_key
{
    service_name service;
    class_name work_class;
    version_name version;

    auto operator<=>(const series_key&) const = default;
};

/// Everything that is counted under one `series_key`.
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
    std::map<std::string, std::uint64_t> rings_refused;
    std::map<gauge, double> gauges;
    /// Events that the ring of the time line no longer holds.
    std::uint64_t events_overwritten = 0;
    /// Events that could not be written to disk.
    std::uint64_t events_not_written = 0;
    std::optional<time_point> window_begun;
};

/// Counts `value`.
void count(counters& all, const observation& value);

/// Counts an event by its kind.
void count(counters& all, event_kind kind);

/// Begins a new window once the present one is `summary_window` old. Called
/// about once a second.
void roll(counters& all, time_point now);

/// Adds one latency.
void add(latency_series& series, duration value);

/// The last whole window, or the present one if that is empty.
latency_summary summary_of(const latency_series& series);

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
