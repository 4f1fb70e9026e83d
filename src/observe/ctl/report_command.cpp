#include "observe/ctl/report_command.hpp"

#include "observe/ctl/report.hpp"

#include <fstream>
#include <ostream>

namespace bergamotusher::ctl
{

namespace
{

/// Adds the metrics of every address to `all`. Succeeds if at least one
/// address answers.
exit_code
fetch_report(const arguments& args, const command_context& context, report& all)
{
    exit_code code = exit_code::unreachable;
    for (const endpoint& address : args.admins)
    {
        http_request request = request_of(args, "");
        request.token = context.token;
        const failover_result outcome =
            send_with_failover({address}, request, 1, context.send_request);
        if (outcome.answer && succeeded(*outcome.answer))
        {
            add_metrics(all, observe::parse_metrics(outcome.answer->body));
            code = exit_code::success;
            continue;
        }
        const exit_code problem = report_failures(outcome, context.err);
        if (code != exit_code::success && problem == exit_code::request_failed)
            code = problem;
    }
    return code;
}

exit_code write_svg(
    const arguments& args, const command_context& context, const report& all)
{
    if (args.svg_file.empty())
        return exit_code::success;
    std::ofstream file(args.svg_file);
    file << render_svg(all);
    file.close();
    if (!file.fail())
        return exit_code::success;
    context.err << "bergamotctl: " << args.svg_file << ": cannot be written\n";
    return exit_code::request_failed;
}

} // namespace

exit_code run_report(const arguments& args, const command_context& context)
{
    report result;
    exit_code code = fetch_report(args, context, result);
    if (code == exit_code::success && args.over_s > 0)
    {
        context.pause(std::chrono::seconds(args.over_s));
        report later;
        code = fetch_report(args, context, later);
        result = difference(later, result);
    }
    if (code != exit_code::success)
        return code;
    if (args.json)
        context.out << encode_report(result).dump(2) << '\n';
    else
        context.out << format_table(request_table(result)) << '\n'
                    << format_table(move_table(result));
    return write_svg(args, context, result);
}

} // namespace bergamotusher::ctl
