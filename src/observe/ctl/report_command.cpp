#include "observe/ctl/report_command.hpp"

#include "observe/ctl/report.hpp"

#include <fstream>
#include <ostream>

namespace bergamotusher::ctl
{

namespace
{

/// Adds up what every address shows.
exit_code
read_report(const arguments& asked, const surroundings& world, report& all)
{
    exit_code code = exit_code::unreachable;
    for (const endpoint& address : asked.admins)
    {
        http_request request = request_of(asked, "");
        request.token = world.token;
        const ask_result result = ask({address}, request, 1, world.attempt);
        if (result.answer && succeeded(*result.answer))
        {
            add(all, observe::parse_metrics(result.answer->body));
            code = exit_code::done;
            continue;
        }
        const exit_code problem = report_failures(result, world.err);
        if (code != exit_code::done && problem == exit_code::refused)
            code = problem;
    }
    return code;
}

exit_code
draw(const arguments& asked, const surroundings& world, const report& all)
{
    if (asked.svg_file.empty())
        return exit_code::done;
    std::ofstream file(asked.svg_file);
    file << draw_report(all);
    file.close();
    if (!file.fail())
        return exit_code::done;
    world.err << "bergamotctl: " << asked.svg_file << ": cannot be written\n";
    return exit_code::refused;
}

} // namespace

exit_code run_report(const arguments& asked, const surroundings& world)
{
    report shown;
    exit_code code = read_report(asked, world, shown);
    if (code == exit_code::done && asked.over_s > 0)
    {
        world.pause(std::chrono::seconds(asked.over_s));
        report later;
        code = read_report(asked, world, later);
        shown = difference(later, shown);
    }
    if (code != exit_code::done)
        return code;
    if (asked.json)
        world.out << encode_report(shown).dump(2) << '\n';
    else
        world.out << format_table(request_table(shown)) << '\n'
                  << format_table(move_table(shown));
    return draw(asked, world, shown);
}

} // namespace bergamotusher::ctl
