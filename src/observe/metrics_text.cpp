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

/// Removes from `text`, and returns, the part before the first character that
/// is in `delimiters`.
std::string consume_until(std::string_view& text, std::string_view delimiters)
{
    const auto end = std::min(text.find_first_of(delimiters), text.size());
    std::string consumed(text.substr(0, end));
    text.remove_prefix(end);
    return consumed;
}

/// Removes `expected` from the start of `text`; false if it is not there.
bool consume(std::string_view& text, char expected)
{
    if (text.empty() || text.front() != expected)
        return false;
    text.remove_prefix(1);
    return true;
}

/// Removes a quoted string from the start of `text` and returns it unescaped.
std::optional<std::string> consume_quoted(std::string_view& text)
{
    if (!consume(text, '"'))
        return std::nullopt;
    std::string value;
    while (!text.empty() && text.front() != '"')
    {
        if (consume(text, '\\') && text.empty())
            return std::nullopt;
        value += text.front();
        text.remove_prefix(1);
    }
    if (!consume(text, '"'))
        return std::nullopt;
    return value;
}

bool consume_labels(std::string_view& text, metric_sample& sample)
{
    while (!consume(text, '}'))
    {
        const std::string name = consume_until(text, "=");
        if (!consume(text, '='))
            return false;
        auto value = consume_quoted(text);
        if (!value)
            return false;
        sample.labels[name] = *std::move(value);
        consume(text, ',');
    }
    return true;
}

std::optional<metric_sample> parse_line(std::string_view line)
{
    if (line.substr(0, prefix.size()) != prefix)
        return std::nullopt;
    line.remove_prefix(prefix.size());
    metric_sample sample;
    sample.name = consume_until(line, "{ ");
    if (consume(line, '{') && !consume_labels(line, sample))
        return std::nullopt;
    if (!consume(line, ' '))
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
