#include "admission/shared_limit.hpp"

#include <algorithm>

namespace bergamotusher::admission
{

namespace
{

double reported_amount(const reported_use& report, const account_id& account)
{
    const auto found = report.used.find(account);
    return found == report.used.end() ? 0 : found->second;
}

/// Upper bound of the use by an earlier incarnation of the entry that was never
/// reported here: the equal part, reduced as it leaves the window.
double unreported_use(
    const sharing_options& options,
    const std::map<std::uint64_t, reported_use>& starts,
    double equal_part,
    time_point now)
{
    if (starts.size() > 1)
        return 0;
    const double window_share_passed =
        to_seconds(now - starts.begin()->second.started_at) /
        to_seconds(options.bound.window);
    return equal_part * (1 - options.bound.initial_fraction) *
           std::max(0.0, 1 - window_share_passed);
}

} // namespace

void record_use(
    use_ledger& ledger,
    const node_id& entry,
    std::uint64_t incarnation,
    duration uptime,
    std::map<account_id, double> used,
    time_point now)
{
    ledger.entries[entry][incarnation] = {std::move(used), now, now - uptime};
}

void drop_expired_uses(
    use_ledger& ledger, const sharing_options& options, time_point now)
{
    for (auto entry = ledger.entries.begin(); entry != ledger.entries.end();)
    {
        auto& starts = entry->second;
        for (auto i = starts.begin(); i != starts.end();)
            i = now - i->second.received_at > options.bound.window
                    ? starts.erase(i)
                    : std::next(i);
        entry = starts.empty() ? ledger.entries.erase(entry) : std::next(entry);
    }
}

double allowance(
    const use_ledger& ledger,
    const sharing_options& options,
    const node_id& entry,
    const account_id& account,
    double total,
    std::uint32_t entries,
    time_point now)
{
    const auto known = static_cast<std::uint32_t>(ledger.entries.size());
    const double count = std::max({entries, known, std::uint32_t{1}});
    const double equal_part = total / count;
    double used_by_all = (count - known) * equal_part;
    double own = 0;
    for (const auto& [node, starts] : ledger.entries)
    {
        const reported_use& newest = starts.rbegin()->second;
        double used = reported_amount(newest, account);
        if (node == entry)
            own = used;
        else if (now - newest.received_at > options.report_timeout)
            used = std::max(used, equal_part);
        for (auto i = starts.begin(); i != std::prev(starts.end()); ++i)
            used += reported_amount(i->second, account);
        used_by_all += used + unreported_use(options, starts, equal_part, now);
    }
    const double left = std::max(0.0, total - used_by_all);
    return own +
           left * std::min(1.0, options.max_equal_parts_per_report / count);
}

} // namespace bergamotusher::admission
