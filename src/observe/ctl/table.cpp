#include "observe/ctl/table.hpp"

#include <algorithm>
#include <array>
#include <cctype>
#include <ctime>

namespace bergamotusher::ctl
{

namespace
{

// Widths in characters; shorter node and kind names are padded to them.
constexpr std::size_t column_gap_width = 2;
constexpr std::size_t node_width = 6;
constexpr std::size_t kind_width = 23;

std::string sanitize(const std::string& text)
{
    std::string sanitized = text;
    for (char& c : sanitized)
        if (std::iscntrl(static_cast<unsigned char>(c)) != 0)
            c = '?';
    return sanitized;
}

/// Number of code points of UTF-8 text: all bytes but continuation bytes.
std::size_t display_width(const std::string& text)
{
    return static_cast<std::size_t>(std::count_if(
        text.begin(),
        text.end(),
        [](char c)
        { return (static_cast<unsigned char>(c) & 0xC0U) != 0x80U; }));
}

std::vector<std::size_t> column_widths(const table& content)
{
    std::vector<std::size_t> widths;
    for (const std::string& column : content.columns)
        widths.push_back(display_width(column));
    for (const auto& row : content.rows)
        for (std::size_t i = 0; i < std::min(row.size(), widths.size()); ++i)
            widths[i] = std::max(widths[i], display_width(sanitize(row[i])));
    return widths;
}

std::string format_row(
    const std::vector<std::string>& cells,
    const std::vector<std::size_t>& widths)
{
    std::string line;
    for (std::size_t i = 0; i < std::min(cells.size(), widths.size()); ++i)
    {
        const std::string cell = sanitize(cells[i]);
        line += cell;
        line.append(widths[i] - display_width(cell) + column_gap_width, ' ');
    }
    line.erase(line.find_last_not_of(' ') + 1);
    return line + "\n";
}

std::string to_upper(std::string text)
{
    for (char& c : text)
        c = static_cast<char>(std::toupper(static_cast<unsigned char>(c)));
    return text;
}

std::string format_cell(const nlohmann::json& value)
{
    if (value.is_null())
        return "";
    return value.is_string() ? value.get<std::string>() : value.dump();
}

bool is_list_of_objects(const nlohmann::json& value)
{
    return value.is_array() && !value.empty() &&
           std::all_of(
               value.begin(),
               value.end(),
               [](const nlohmann::json& item) { return item.is_object(); });
}

void append_padded(
    std::string& line, const std::string& text, std::size_t width)
{
    const std::string sanitized = sanitize(text);
    line += ' ' + sanitized;
    line.append(width - std::min(width, display_width(sanitized)), ' ');
}

void append_field(std::string& line, const char* name, const std::string& value)
{
    if (!value.empty())
        line += std::string(" ") + name + "=" + sanitize(value);
}

table make_object_table(const nlohmann::json& list)
{
    table result;
    for (const auto& object : list)
        for (const auto& [name, value] : object.items())
            if (std::find(result.columns.begin(), result.columns.end(), name) ==
                result.columns.end())
                result.columns.push_back(name);
    for (const auto& object : list)
    {
        auto& row = result.rows.emplace_back();
        for (const std::string& name : result.columns)
            row.push_back(format_cell(object.value(name, nlohmann::json())));
    }
    return result;
}

std::string describe_object(const nlohmann::json& object)
{
    table fields{{"field", "value"}, {}};
    std::string lists;
    for (const auto& [name, value] : object.items())
    {
        if (is_list_of_objects(value))
            lists += "\n" + to_upper(name) + "\n" + describe(value);
        else
            fields.rows.push_back({name, format_cell(value)});
    }
    if (fields.rows.empty())
        return lists.empty() ? "(nothing)\n" : lists.substr(1);
    return format_table(fields) + lists;
}

} // namespace

std::string format_table(const table& content)
{
    const auto widths = column_widths(content);
    std::vector<std::string> headings;
    for (const std::string& column : content.columns)
        headings.push_back(to_upper(column));
    std::string text = format_row(headings, widths);
    for (const auto& row : content.rows)
        text += format_row(row, widths);
    return text;
}

std::string describe(const nlohmann::json& value)
{
    if (is_list_of_objects(value))
        return format_table(make_object_table(value));
    if (value.is_object())
        return describe_object(value);
    if (value.is_array() && value.empty())
        return "(nothing)\n";
    return sanitize(format_cell(value)) + "\n";
}

std::string format_wall(std::int64_t wall_ms)
{
    constexpr std::int64_t ms_per_second = 1'000;
    std::int64_t seconds = wall_ms / ms_per_second;
    std::int64_t milliseconds = wall_ms % ms_per_second;
    if (milliseconds < 0)
    {
        milliseconds += ms_per_second;
        --seconds;
    }
    const std::time_t time = seconds;
    std::tm utc{};
    gmtime_r(&time, &utc);
    std::array<char, 40> text{};
    const auto length =
        std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%S.", &utc);
    const std::string digits =
        std::to_string(ms_per_second + milliseconds).substr(1);
    return std::string(text.data(), length) + digits + "Z";
}

std::string format_event(const event& value)
{
    std::string line = format_wall(value.at.wall);
    append_padded(line, value.node.value, node_width);
    append_padded(line, std::string(to_name(value.kind)), kind_width);
    append_field(line, "request", value.request.value);
    append_field(line, "attempt", value.attempt.value);
    append_field(line, "upstream", value.target.value);
    append_field(line, "move", value.move.value);
    if (value.number != 0)
        append_field(line, "number", std::to_string(value.number));
    if (!value.detail.empty())
        line += " " + sanitize(value.detail);
    line.erase(line.find_last_not_of(' ') + 1);
    return line + "\n";
}

} // namespace bergamotusher::ctl
