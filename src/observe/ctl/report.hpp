// The report over all entries: latency, tokens and cost by service, class of
// work and version, and what became of version moves.
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

/// One kind of latency over all entries, in seconds.
struct latency_report
{
    double count = 0;
    double sum = 0;
    /// Of the entry where it is the worst: quantiles do not add up.
    double p50 = 0;
    double p95 = 0;
    double p99 = 0;
};

/// One service, class of work and version over all entries.
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

/// What all entries show together.
struct report
{
    std::map<observe::series_key, request_report> requests;
    double moves_started = 0;
    double moves_completed = 0;
    double moves_taken_back = 0;
};

/// Adds one entry's metrics.
void add(report& all, const std::vector<observe::metric_sample>& samples);

/// What came between two readings; quantiles are the later reading's.
report difference(const report& later, const report& earlier);

/// Latency, tokens and cost, one row for each key.
table request_table(const report& all);

/// Version moves.
table move_table(const report& all);

/// The report for programs.
nlohmann::json encode_report(const report& all);

/// The 95th percentiles of the first token as a bar chart.
std::string draw_report(const report& all);

} // namespace bergamotusher::ctl
