// Report on all entries: latency, tokens and cost by service, class of work
// and version, and the outcomes of version moves.
#pragma once

#include "observe/counters.hpp"
#include "observe/ctl/table.hpp"
#include "observe/metrics_text.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace bergamotusher::ctl
{

/// One kind of latency, aggregated over all entries, in seconds.
struct latency_report
{
    double count = 0;
    double sum = 0;
    /// Quantiles are those of the slowest entry, since quantiles of several
    /// entries cannot be combined.
    double p50 = 0;
    double p95 = 0;
    double p99 = 0;
};

/// Requests of one service, class of work and version, over all entries.
struct request_report
{
    latency_report first_token;
    latency_report token_gap;
    latency_report total;
    double requests = 0;
    double answered_tokens = 0;
    double recomputed_tokens = 0;
    double cached_tokens = 0;
    /// Currency units.
    double cost = 0;
};

/// The sum of the metrics of all entries.
struct report
{
    std::map<observe::series_key, request_report> requests;
    double moves_started = 0;
    double moves_completed = 0;
    double moves_taken_back = 0;
};

/// Adds the metrics of one entry to `all`.
void add_metrics(
    report& all, const std::vector<observe::metric_sample>& samples);

/// The increase of the counters between two readings; quantiles are those of
/// the later one.
report difference(const report& later, const report& earlier);

/// Table of latency, tokens and cost, one row for each key.
table request_table(const report& all);

/// Table of version moves by outcome.
table move_table(const report& all);

/// The report as JSON.
nlohmann::json encode_report(const report& all);

/// SVG bar chart of the 95th percentiles of the first-token latency.
std::string render_svg(const report& all);

} // namespace bergamotusher::ctl
