#include "observe/timeline_query.hpp"

#include "observe/event_json.hpp"
#include "observe/hybrid_clock.hpp"

#include <algorithm>
#include <cctype>
#include <charconv>

namespace bergamotusher::observe
{

namespace
{

failure make_malformed_failure(std::string detail)
{
    return {error_kind::malformed_request, std::move(detail)};
}

bool read_limit(const std::string& value, timeline_query& query)
{
    const char* end = value.data() + value.size();
    const auto read = std::from_chars(value.data(), end, query.limit);
    query.limit = std::min(query.limit, max_timeline_events);
    return read.ec == std::errc{} && read.ptr == end && query.limit > 0;
}

bool read_since(const std::string& value, timeline_query& query)
{
    query.since = parse_hybrid_time(value);
    return query.since.has_value();
}

/// Sets the field `name` of `query`; false if the name is unknown or the value
/// is invalid.
bool read_field(
    std::string_view name, const std::string& value, timeline_query& query)
{
    if (name == "since")
        return read_since(value, query);
    if (name == "limit")
        return read_limit(value, query);
    if (name == "request")
        query.request.value = value;
    else if (name == "move")
        query.move.value = value;
    else if (name == "upstream")
        query.target.value = value;
    else
        return false;
    return true;
}

void append_field(std::string& text, const char* name, std::string_view value)
{
    if (value.empty())
        return;
    text += text.empty() ? "" : "&";
    text += name;
    text += '=' + percent_encoded(value);
}

} // namespace

std::variant<timeline_query, failure>
parse_timeline_query(std::string_view text)
{
    timeline_query query;
    while (!text.empty())
    {
        const auto end = std::min(text.find('&'), text.size());
        const std::string_view field = text.substr(0, end);
        text.remove_prefix(std::min(end + 1, text.size()));
        const auto equals_position = std::min(field.find('='), field.size());
        const std::string_view name = field.substr(0, equals_position);
        const auto value = percent_decoded(
            field.substr(std::min(equals_position + 1, field.size())));
        // A field with an empty value is ignored, whatever its name.
        if (value && value->empty())
            continue;
        if (!value || !read_field(name, *value, query))
            return make_malformed_failure(
                "timeline query: " + std::string(field));
    }
    return query;
}

std::string format_timeline_query(const timeline_query& query)
{
    std::string text;
    append_field(text, "since", query.since ? to_string(*query.since) : "");
    append_field(text, "request", query.request.value);
    append_field(text, "move", query.move.value);
    append_field(text, "upstream", query.target.value);
    append_field(text, "limit", std::to_string(query.limit));
    return text;
}

nlohmann::json encode_timeline(const std::vector<event>& events)
{
    nlohmann::json list = nlohmann::json::array();
    for (const event& value : events)
        list.push_back(encode_event(value));
    return {{"events", std::move(list)}};
}

std::variant<std::vector<event>, failure>
parse_timeline(const nlohmann::json& text)
{
    if (!text.is_object() || !text.contains("events"))
        return failure{error_kind::malformed_answer, "no events"};
    std::vector<event> events;
    for (const auto& item : text["events"])
    {
        auto parsed = parse_event(item);
        if (auto* value = std::get_if<event>(&parsed))
            events.push_back(std::move(*value));
    }
    return events;
}

std::string percent_encoded(std::string_view text)
{
    constexpr std::string_view digits = "0123456789ABCDEF";
    std::string encoded;
    for (const char c : text)
    {
        const auto byte = static_cast<unsigned char>(c);
        if (std::isalnum(byte) != 0 || c == '-' || c == '_' || c == '.')
        {
            encoded += c;
            continue;
        }
        encoded += '%';
        encoded += digits[byte >> 4U];
        encoded += digits[byte & 15U];
    }
    return encoded;
}

std::optional<std::string> percent_decoded(std::string_view text)
{
    constexpr std::size_t escape_length = 3;
    std::string decoded;
    while (!text.empty())
    {
        if (text.front() != '%')
        {
            decoded += text.front();
            text.remove_prefix(1);
            continue;
        }
        unsigned byte = 0;
        const char* end = text.data() + std::min(escape_length, text.size());
        const auto read = std::from_chars(text.data() + 1, end, byte, 16);
        if (text.size() < escape_length || read.ptr != end)
            return std::nullopt;
        decoded += static_cast<char>(byte);
        text.remove_prefix(escape_length);
    }
    return decoded;
}

} // namespace bergamotusher::observe
