// Formats tables, JSON and events as text for a terminal.
#pragma once

#include <bergamotusher/event.hpp>

#include <nlohmann/json.hpp>

#include <string>
#include <vector>

namespace bergamotusher::ctl
{

/// Rows of text and the headings of their columns.
struct table
{
    std::vector<std::string> columns;
    std::vector<std::vector<std::string>> rows;
};

/// Formats the table with aligned columns, one line a row. Control characters,
/// which could change the terminal's state, are replaced by `?`.
std::string format_table(const table& content);

/// Formats any JSON value as text: fields as rows of name and value, each list
/// of objects as a table under its name.
std::string describe(const nlohmann::json& value);

/// Formats an event as one line: time, node, kind, then the fields that are
/// set.
std::string format_event(const event& value);

/// Formats milliseconds since the Unix epoch as `YYYY-MM-DDTHH:MM:SS.mmmZ`.
std::string format_wall(std::int64_t wall_ms);

} // namespace bergamotusher::ctl
