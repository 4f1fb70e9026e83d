#include "observe/ctl/status_command.hpp"

#include "observe/ctl/table.hpp"

#include <ostream>

namespace bergamotusher::ctl
{

namespace
{

using nlohmann::json;

/// A column of the table: the field of the status object that it shows, within
/// the nested object `section` unless that is empty.
struct status_column
{
    const char* heading;
    const char* section;
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

std::string format_cell(const json& status, const status_column& column)
{
    const std::string section = column.section;
    const json& object =
        section.empty() ? status : status.value(section, json());
    if (!object.is_object() || !object.contains(column.field))
        return "-";
    const json& value = object[column.field];
    return value.is_string() ? value.get<std::string>() : value.dump();
}

table make_status_table(const json& processes)
{
    table result;
    for (const status_column& column : columns)
        result.columns.emplace_back(column.heading);
    for (const json& status : processes)
    {
        auto& row = result.rows.emplace_back();
        for (const status_column& column : columns)
            row.push_back(format_cell(status, column));
    }
    return result;
}

} // namespace

exit_code run_status(const arguments& args, const command_context& context)
{
    json processes = json::array();
    exit_code problem = exit_code::unreachable;
    http_request request = request_of(args, "");
    request.token = context.token;
    for (const endpoint& address : args.admins)
    {
        const failover_result outcome =
            send_with_failover({address}, request, 1, context.send_request);
        if (outcome.answer && succeeded(*outcome.answer))
            processes.push_back(
                json::parse(outcome.answer->body, nullptr, false));
        else if (
            report_failures(outcome, context.err) == exit_code::request_failed)
            problem = exit_code::request_failed;
    }
    if (processes.empty())
        return problem;
    if (args.json)
        context.out << json{{"processes", processes}}.dump(2) << '\n';
    else
        context.out << format_table(make_status_table(processes));
    return exit_code::success;
}

} // namespace bergamotusher::ctl
