// Reads the Prometheus text that `prometheus_text` writes.
#pragma once

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace bergamotusher::observe
{

/// One line of the text.
struct metric_sample
{
    /// Without the prefix `bergamotusher_`.
    std::string name;
    std::map<std::string, std::string> labels;
    double value = 0;
};

/// All samples of `text`. Comments and lines that cannot be read are left
/// out.
std::vector<metric_sample> parse_metrics(std::string_view text);

} // namespace bergamotusher::observe
