// Parses the Prometheus text that `prometheus_text` writes.
#pragma once

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace bergamotusher::observe
{

/// One sample line of the text.
struct metric_sample
{
    /// Name of the metric without the prefix `bergamotusher_`.
    std::string name;
    std::map<std::string, std::string> labels;
    double value = 0;
};

/// Parses all samples of `text`. Skips comments, metrics without the prefix
/// `bergamotusher_` and malformed lines.
std::vector<metric_sample> parse_metrics(std::string_view text);

} // namespace bergamotusher::observe
