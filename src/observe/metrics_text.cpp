#include "observe/metrics_text.hpp"

#include <algorithm>
#include <cstdlib>
#include <optional>
#include <utility>

namespace bergamotusher::observe
{

namespace
{

constexpr std::string_view prefix = "bergamotusher_";

/// Takes what stands before the first of `ends` off `text`.
std::string take_until(std::string_view& text, std::string_view ends)
{
    const auto end = std::min(text.find_first_of(ends), text.size());
    std::string taken(text.substr(0, end));
    text.remove_prefix(end);
    return taken;
}

bool take(std::string_view& text, char wanted)
{
    if (text.empty() || text.front() != wanted)
        return false;
    text.remove_prefix(1);
    return true;
}

/// Takes a quoted value, its escapes undone.
std::optional<std::string> take_quoted(std::string_view& text)
{
    if (!take(text, '"'))
        return std::nullopt;
    std::string value;
    while (!text.empty() && text.front() != '"')
    {
        if (take(text, '\\') && text.empty())
            return std::nullopt;
        value += text.front();
        text.remove_prefix(1);
    }
    if (!take(text, '"'))
        return std::nullopt;
    return value;
}

bool take_labels(std::string_view& text, metric_sample& sample)
{
    while (!take(text, '}'))
    {
        const std::string name = take_until(text, "=");
        if (!take(text, '='))
            return false;
        auto value = take_quoted(text);
        if (!value)
            return false;
        sample.labels[name] = *std::move(value);
        take(text, ',');
    }
    return true;
}

std::optional<metric_sample> parse_line(std::string_view line)
{
    if (line.substr(0, prefix.size()) != prefix)
        return std::nullopt;
    line.remove_prefix(prefix.size());
    metric_sample sample;
    sample.name = take_until(line, "{ ");
    if (take(line, '{') && !take_labels(line, sample))
        return std::nullopt;
    if (!take(line, ' '))
        return std::nullopt;
    const std::string number(line);
    char* end = nullptr;
    sample.value = std::strtod(number.c_str(), &end);
    if (end == number.c_str())
        return std::nullopt;
    return sample;
}

} // namespace

std::vector<metric_sample> parse_metrics(std::string_view text)
{
    std::vector<metric_sample> samples;
    while (!text.empty())
    {
        const auto end = std::min(text.find('\n'), text.size());
        if (auto sample = parse_line(text.substr(0, end)))
            samples.push_back(*std::move(sample));
        text.remove_prefix(std::min(end + 1, text.size()));
    }
    return samples;
}

} // namespace bergamotusher::observe
