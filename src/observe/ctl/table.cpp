#include "observe/ctl/table.hpp"

#include <algorithm>
#include <array>
#include <cctype>
#include <ctime>

namespace bergamotusher::ctl
{

namespace
{

constexpr std::size_t gap_width = 2;
constexpr std::size_t node_width = 6;
constexpr std::size_t kind_width = 23;

std::string printable(const std::string& text)
{
    std::string clean = text;
    for (char& c : clean)
        if (std::iscntrl(static_cast<unsigned char>(c)) != 0)
            c = '?';
    return clean;
}

/// Characters of UTF-8 text: all bytes but continuations.
std::size_t width_of(const std::string& text)
{
    return static_cast<std::size_t>(std::count_if(
        text.begin(),
        text.end(),
        [](char c)
        { return (static_cast<unsigned char>(c) & 0xC0U) != 0x80U; }));
}

std::vector<std::size_t> widths_of(const table& shown)
{
    std::vector<std::size_t> widths;
    for (const std::string& column : shown.columns)
        widths.push_back(width_of(column));
    for (const auto& row : shown.rows)
        for (std::size_t i = 0; i < std::min(row.size(), widths.size()); ++i)
            widths[i] = std::max(widths[i], width_of(printable(row[i])));
    return widths;
}

std::string line_of(
    const std::vector<std::string>& cells,
    const std::vector<std::size_t>& widths)
{
    std::string line;
    for (std::size_t i = 0; i < std::min(cells.size(), widths.size()); ++i)
    {
        const std::string cell = printable(cells[i]);
        line += cell;
        line.append(widths[i] - width_of(cell) + gap_width, ' ');
    }
    line.erase(line.find_last_not_of(' ') + 1);
    return line + "\n";
}

std::string upper(std::string text)
{
    for (char& c : text)
        c = static_cast<char>(std::toupper(static_cast<unsigned char>(c)));
    return text;
}

std::string cell_of(const nlohmann::json& value)
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
               [](const nlohmann::json& one) { return one.is_object(); });
}

void append_padded(
    std::string& line, const std::string& text, std::size_t width)
{
    const std::string clean = printable(text);
    line += ' ' + clean;
    line.append(width - std::min(width, width_of(clean)), ' ');
}

void append_field(std::string& line, const char* name, const std::string& value)
{
    if (!value.empty())
        line += std::string(" ") + name + "=" + printable(value);
}

table table_of_objects(const nlohmann::json& list)
{
    table shown;
    for (const auto& object : list)
        for (const auto& [name, value] : object.items())
            if (std::find(shown.columns.begin(), shown.columns.end(), name) ==
                shown.columns.end())
                shown.columns.push_back(name);
    for (const auto& object : list)
    {
        auto& row = shown.rows.emplace_back();
        for (const std::string& name : shown.columns)
            row.push_back(cell_of(object.value(name, nlohmann::json())));
    }
    return shown;
}

std::string describe_object(const nlohmann::json& object)
{
    table plain{{"field", "value"}, {}};
    std::string lists;
    for (const auto& [name, value] : object.items())
    {
        if (is_list_of_objects(value))
            lists += "\n" + upper(name) + "\n" + describe(value);
        else
            plain.rows.push_back({name, cell_of(value)});
    }
    if (plain.rows.empty())
        return lists.empty() ? "(nothing)\n" : lists.substr(1);
    return format_table(plain) + lists;
}

} // namespace

std::string format_table(const table& shown)
{
    const auto widths = widths_of(shown);
    std::vector<std::string> headings;
    for (const std::string& column : shown.columns)
        headings.push_back(upper(column));
    std::string text = line_of(headings, widths);
    for (const auto& row : shown.rows)
        text += line_of(row, widths);
    return text;
}

std::string describe(const nlohmann::json& value)
{
    if (is_list_of_objects(value))
        return format_table(table_of_objects(value));
    if (value.is_object())
        return describe_object(value);
    if (value.is_array() && value.empty())
        return "(nothing)\n";
    return printable(cell_of(value)) + "\n";
}

std::string format_wall(std::int64_t wall_ms)
{
    constexpr std::int64_t ms_per_second = 1'000;
    std::int64_t seconds = wall_ms / ms_per_second;
    std::int64_t rest = wall_ms % ms_per_second;
    if (rest < 0)
    {
        rest += ms_per_second;
        --seconds;
    }
    const std::time_t time = seconds;
    std::tm utc{};
    gmtime_r(&time, &utc);
    std::array<char, 40> text{};
    const auto length =
        std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%S.", &utc);
    const std::string digits = std::to_string(ms_per_second + rest).substr(1);
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
        line += " " + printable(value.detail);
    line.erase(line.find_last_not_of(' ') + 1);
    return line + "\n";
}

} // namespace bergamotusher::ctl
