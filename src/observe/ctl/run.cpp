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

// Number of times that the list of addresses is tried before the command
// fails.
constexpr unsigned max_rounds = 2;

std::string read_all(std::istream& in)
{
    return {std::istreambuf_iterator<char>(in), {}};
}

/// Reads the new value for `config put`. Prints an error and returns
/// `std::nullopt` if the file cannot be read or is not JSON.
std::optional<std::string>
read_body(const arguments& args, const command_context& context)
{
    std::ifstream file;
    if (args.file != "-")
        file.open(args.file);
    std::istream& input = args.file == "-" ? context.in : file;
    if (!input)
    {
        context.err << "bergamotctl: " << args.file << ": cannot be read\n";
        return std::nullopt;
    }
    std::string body = read_all(input);
    if (nlohmann::json::accept(body))
        return body;
    context.err << "bergamotctl: " << args.file << ": not JSON\n";
    return std::nullopt;
}

std::string config_target(const arguments& args)
{
    std::string collection = "/v1/config/" + args.collection;
    if (args.name.empty())
        return collection;
    return collection + "/" + observe::percent_encoded(args.name);
}

std::string move_body(const arguments& args)
{
    return nlohmann::json{
        {"service", args.service},
        {"version", args.version},
        {"within_s", args.deadline_s}}
        .dump();
}

std::string target_of(const arguments& args)
{
    switch (args.what)
    {
    case command::config_get:
    case command::config_put:
        return config_target(args);
    case command::config_history:
        return "/v1/config/history";
    case command::move_start:
    case command::move_list:
        return "/v1/moves";
    case command::move_show:
        return "/v1/moves/" + observe::percent_encoded(args.move);
    case command::entries:
        return "/v1/entries";
    case command::upstreams:
        return "/v1/upstreams";
    case command::timeline:
        return "/v1/timeline?" + observe::format_timeline_query(args.query);
    case command::report:
        return "/metrics";
    case command::status:
        break;
    }
    return "/v1/status";
}

void print_response(
    const http_answer& answer, const arguments& args, std::ostream& out)
{
    const auto value = nlohmann::json::parse(answer.body, nullptr, false);
    if (value.is_discarded())
        out << answer.body;
    else if (args.json)
        out << value.dump(2) << '\n';
    else
        out << describe(value);
    if (!args.json && !answer.etag.empty())
        out << "revision " << answer.etag << '\n';
}

exit_code
run_single_request(const arguments& args, const command_context& context)
{
    std::string body;
    if (args.what == command::config_put)
    {
        auto read = read_body(args, context);
        if (!read)
            return exit_code::usage;
        body = *std::move(read);
    }
    http_request request = request_of(args, std::move(body));
    request.token = context.token;
    const auto& addresses =
        args.what == command::entries ? args.entries : args.admins;
    const failover_result result = send_with_failover(
        addresses, request, max_rounds, context.send_request);
    if (result.answer && succeeded(*result.answer))
    {
        print_response(*result.answer, args, context.out);
        return exit_code::success;
    }
    const exit_code code = report_failures(result, context.err);
    if (result.outcome_unknown)
        context.err << "bergamotctl: the change may have been made; resend with"
                    << " --idempotency-key " << request.idempotency_key << '\n';
    return code;
}

} // namespace

http_request request_of(const arguments& args, std::string body)
{
    http_request request;
    request.target = target_of(args);
    if (args.what == command::config_put)
    {
        request.method = verb::put;
        request.body = std::move(body);
        request.if_match = std::to_string(args.revision);
        request.idempotency_key = args.idempotency_key;
    }
    if (args.what == command::move_start)
    {
        request.method = verb::post;
        request.body = move_body(args);
        request.idempotency_key = args.idempotency_key;
    }
    return request;
}

exit_code report_failures(const failover_result& result, std::ostream& err)
{
    for (const failure& failed_attempt : result.failures)
        err << "bergamotctl: " << failed_attempt.detail << '\n';
    if (!result.answer)
        return exit_code::unreachable;
    const failure problem = parse_problem(*result.answer);
    err << "bergamotctl: " << error_answer_for(problem.kind).name << ": "
        << problem.detail << '\n';
    return exit_code::request_failed;
}

exit_code run(const arguments& args, const command_context& context)
{
    if (args.what == command::timeline)
        return run_timeline(args, context);
    if (args.what == command::status)
        return run_status(args, context);
    if (args.what == command::report)
        return run_report(args, context);
    return run_single_request(args, context);
}

} // namespace bergamotusher::ctl
