// Tables for people.
#pragma once

#include <bergamotusher/event.hpp>

#include <nlohmann/json.hpp>

#include <string>
#include <vector>

namespace bergamotusher::ctl
{

/// Rows of text under headings.
struct table
{
    std::vector<std::string> columns;
    std::vector<std::vector<std::string>> rows;
};

/// The table with aligned columns, one line a row. Control characters, which
/// could act on a terminal, are shown as `?`.
std::string format_table(const table& shown);

/// Any JSON answer for people: plain fields as rows of name and value, each
/// list of objects as a table under its name.
std::string describe(const nlohmann::json& value);

/// An event as a line: time, node, kind, then the fields that apply.
std::string format_event(const event& value);

/// `YYYY-MM-DDTHH:MM:SS.mmmZ` of milliseconds since the Unix epoch.
std::string format_wall(std::int64_t wall_ms);

} // namespace bergamotusher::ctl
