#include "serving/crash_reports.hpp"

#include <algorithm>

namespace bergamotusher::serving
{

void add_report(
    std::vector<open_crash_report>& reports,
    const report_crash& report,
    const std::vector<node_id>& live,
    time_point now)
{
    if (live.empty())
        return;
    open_crash_report added;
    added.report = report;
    added.awaited.insert(live.begin(), live.end());
    added.made = now;
    added.repeat_at = now + added.pause;
    reports.push_back(std::move(added));
}

void note_acknowledged(
    std::vector<open_crash_report>& reports,
    const node_id& from,
    const std::string& fingerprint,
    const upstream_id& target)
{
    for (open_crash_report& open : reports)
        if (open.report.fingerprint == fingerprint &&
            open.report.target == target)
            open.awaited.erase(from);
    std::erase_if(
        reports,
        [](const open_crash_report& open) { return open.awaited.empty(); });
}

bool awaits_acknowledgement(
    const std::vector<open_crash_report>& reports,
    const std::string& fingerprint,
    time_point now)
{
    return std::any_of(
        reports.begin(),
        reports.end(),
        [&](const open_crash_report& open)
        {
            return open.report.fingerprint == fingerprint &&
                   now - open.made < acknowledgement_timeout;
        });
}

std::vector<report_crash>
due_repeats(std::vector<open_crash_report>& reports, time_point now)
{
    std::erase_if(
        reports,
        [now](const open_crash_report& open)
        { return now - open.made >= report_lifetime; });
    std::vector<report_crash> due;
    for (open_crash_report& open : reports)
    {
        if (now < open.repeat_at)
            continue;
        open.pause *= 2;
        open.repeat_at = now + open.pause;
        report_crash& repeated = due.emplace_back(open.report);
        repeated.to.assign(open.awaited.begin(), open.awaited.end());
    }
    return due;
}

} // namespace bergamotusher::serving
