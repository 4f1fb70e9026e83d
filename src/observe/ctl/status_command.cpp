#include "observe/ctl/status_command.hpp"

#include "observe/ctl/table.hpp"

#include <ostream>

namespace bergamotusher::ctl
{

namespace
{

using nlohmann::json;

/// What a row shows: a field of the status, or of its part `control`.
struct status_column
{
    const char* heading;
    const char* part;
    const char* field;
};

constexpr status_column columns[] = {
    {"node", "", "node"},
    {"failure domain", "", "failure_domain"},
    {"role", "control", "role"},
    {"leader", "control", "leader"},
    {"term", "control", "term"},
    {"revision", "", "revision"},
    {"ready", "", "ready"},
    {"draining", "", "draining"},
    {"open requests", "", "open_requests"},
    {"version", "", "version"}};

std::string cell_of(const json& status, const status_column& column)
{
    const std::string part = column.part;
    const json& from = part.empty() ? status : status.value(part, json());
    if (!from.is_object() || !from.contains(column.field))
        return "-";
    const json& value = from[column.field];
    return value.is_string() ? value.get<std::string>() : value.dump();
}

table table_of(const json& processes)
{
    table shown;
    for (const status_column& column : columns)
        shown.columns.emplace_back(column.heading);
    for (const json& status : processes)
    {
        auto& row = shown.rows.emplace_back();
        for (const status_column& column : columns)
            row.push_back(cell_of(status, column));
    }
    return shown;
}

} // namespace

exit_code run_status(const arguments& asked, const surroundings& world)
{
    json processes = json::array();
    exit_code problem = exit_code::unreachable;
    http_request request = request_of(asked, "");
    request.token = world.token;
    for (const endpoint& address : asked.admins)
    {
        const ask_result result = ask({address}, request, 1, world.attempt);
        if (result.answer && succeeded(*result.answer))
            processes.push_back(
                json::parse(result.answer->body, nullptr, false));
        else if (report_failures(result, world.err) == exit_code::refused)
            problem = exit_code::refused;
    }
    if (processes.empty())
        return problem;
    if (asked.json)
        world.out << json{{"processes", processes}}.dump(2) << '\n';
    else
        world.out << format_table(table_of(processes));
    return exit_code::done;
}

} // namespace bergamotusher::ctl
