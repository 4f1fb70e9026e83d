#include "observe/ctl/run.hpp"

#include "observe/ctl/report_command.hpp"
#include "observe/ctl/status_command.hpp"
#include "observe/ctl/table.hpp"
#include "observe/ctl/timeline_command.hpp"
#include "observe/timeline_query.hpp"

#include <fstream>
#include <iterator>
#include <ostream>
#include <utility>

namespace bergamotusher::ctl
{

namespace
{

using boost::beast::http::verb;

// Every address is asked this often before the command gives up.
constexpr unsigned ask_rounds = 2;

std::string read_all(std::istream& in)
{
    return {std::istreambuf_iterator<char>(in), {}};
}

/// The new value that `config put` sends; nothing, with words on `err`, if
/// it cannot be read or is not JSON.
std::optional<std::string>
read_body(const arguments& asked, const surroundings& world)
{
    std::ifstream file;
    if (asked.file != "-")
        file.open(asked.file);
    std::istream& source = asked.file == "-" ? world.in : file;
    if (!source)
    {
        world.err << "bergamotctl: " << asked.file << ": cannot be read\n";
        return std::nullopt;
    }
    std::string body = read_all(source);
    if (nlohmann::json::accept(body))
        return body;
    world.err << "bergamotctl: " << asked.file << ": not JSON\n";
    return std::nullopt;
}

std::string config_target(const arguments& asked)
{
    std::string collection = "/v1/config/" + asked.collection;
    if (asked.name.empty())
        return collection;
    return collection + "/" + observe::percent_encoded(asked.name);
}

std::string move_body(const arguments& asked)
{
    return nlohmann::json{
        {"service", asked.service},
        {"version", asked.version},
        {"within_s", asked.deadline_s}}
        .dump();
}

std::string target_of(const arguments& asked)
{
    switch (asked.what)
    {
    case command::config_get:
    case command::config_put:
        return config_target(asked);
    case command::config_history:
        return "/v1/config/history";
    case command::move_start:
    case command::move_list:
        return "/v1/moves";
    case command::move_show:
        return "/v1/moves/" + observe::percent_encoded(asked.move);
    case command::entries:
        return "/v1/entries";
    case command::upstreams:
        return "/v1/upstreams";
    case command::timeline:
        return "/v1/timeline?" + observe::format_timeline_query(asked.query);
    case command::report:
        return "/metrics";
    case command::status:
        break;
    }
    return "/v1/status";
}

void print_answer(
    const http_answer& answer, const arguments& asked, std::ostream& out)
{
    const auto value = nlohmann::json::parse(answer.body, nullptr, false);
    if (value.is_discarded())
        out << answer.body;
    else if (asked.json)
        out << value.dump(2) << '\n';
    else
        out << describe(value);
    if (!asked.json && !answer.etag.empty())
        out << "revision " << answer.etag << '\n';
}

exit_code run_simple(const arguments& asked, const surroundings& world)
{
    std::string body;
    if (asked.what == command::config_put)
    {
        auto read = read_body(asked, world);
        if (!read)
            return exit_code::usage;
        body = *std::move(read);
    }
    http_request request = request_of(asked, std::move(body));
    request.token = world.token;
    const auto& addresses =
        asked.what == command::entries ? asked.entries : asked.admins;
    const ask_result result =
        ask(addresses, request, ask_rounds, world.attempt);
    if (result.answer && succeeded(*result.answer))
    {
        print_answer(*result.answer, asked, world.out);
        return exit_code::done;
    }
    const exit_code code = report_failures(result, world.err);
    if (result.outcome_unknown)
        world.err << "bergamotctl: the change may have been made; resend with"
                  << " --idempotency-key " << request.idempotency_key << '\n';
    return code;
}

} // namespace

http_request request_of(const arguments& asked, std::string body)
{
    http_request request;
    request.target = target_of(asked);
    if (asked.what == command::config_put)
    {
        request.method = verb::put;
        request.body = std::move(body);
        request.if_match = std::to_string(asked.revision);
        request.idempotency_key = asked.idempotency_key;
    }
    if (asked.what == command::move_start)
    {
        request.method = verb::post;
        request.body = move_body(asked);
        request.idempotency_key = asked.idempotency_key;
    }
    return request;
}

exit_code report_failures(const ask_result& result, std::ostream& err)
{
    for (const failure& each : result.failures)
        err << "bergamotctl: " << each.detail << '\n';
    if (!result.answer)
        return exit_code::unreachable;
    const failure problem = problem_of(*result.answer);
    err << "bergamotctl: " << answer_of(problem.kind).name << ": "
        << problem.detail << '\n';
    return exit_code::refused;
}

exit_code run(const arguments& asked, const surroundings& world)
{
    if (asked.what == command::timeline)
        return run_timeline(asked, world);
    if (asked.what == command::status)
        return run_status(asked, world);
    if (asked.what == command::report)
        return run_report(asked, world);
    return run_simple(asked, world);
}

} // namespace bergamotusher::ctl
