#include "admission/shared_limit.hpp"

#include <algorithm>
#include <vector>

namespace bergamotusher::admission
{

namespace
{

double reported_amount(const reported_use& report, const account_id& account)
{
    const auto found = report.used.find(account);
    return found == report.used.end() ? 0 : found->second;
}

/// Fraction of its equal part that an earlier incarnation of the entry may have
/// used without a report to this node; falls as that leaves the window.
double unreported_fraction(
    const sharing_options& options,
    const std::map<std::uint64_t, reported_use>& starts,
    time_point now)
{
    if (starts.size() > 1)
        return 0;
    const double window_share_passed =
        to_seconds(now - starts.begin()->second.started_at) /
        to_seconds(options.bound.window);
    return (1 - options.bound.initial_fraction) *
           std::max(0.0, 1 - window_share_passed);
}

void add_reported(use_ledger& ledger, const reported_use& report, double sign)
{
    for (const auto& [account, amount] : report.used)
        ledger.reported[account] += sign * amount;
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
    reported_use& report = ledger.entries[entry][incarnation];
    add_reported(ledger, report, -1);
    report = {std::move(used), now, now - uptime};
    add_reported(ledger, report, 1);
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
    // Computed anew, so that rounding errors do not add up.
    ledger.reported.clear();
    for (const auto& [entry, starts] : ledger.entries)
        for (const auto& [incarnation, report] : starts)
            add_reported(ledger, report, 1);
}

account_totals allowances(
    const use_ledger& ledger,
    const sharing_options& options,
    const node_id& entry,
    const account_totals& totals,
    std::uint32_t entries,
    time_point now)
{
    const auto known = static_cast<std::uint32_t>(ledger.entries.size());
    const double count = std::max({entries, known, std::uint32_t{1}});
    // Equal parts that count as used beside the reported amounts.
    double assumed_parts = count - known;
    std::vector<const reported_use*> silent;
    const reported_use* own_report = nullptr;
    for (const auto& [node, starts] : ledger.entries)
    {
        const reported_use& newest = starts.rbegin()->second;
        if (node == entry)
            own_report = &newest;
        else if (now - newest.received_at > options.report_timeout)
            silent.push_back(&newest);
        assumed_parts += unreported_fraction(options, starts, now);
    }
    account_totals allowed;
    for (const auto& [account, total] : totals)
    {
        const double equal_part = total / count;
        const auto reported = ledger.reported.find(account);
        double used_by_all =
            assumed_parts * equal_part +
            (reported == ledger.reported.end() ? 0 : reported->second);
        for (const reported_use* each : silent)
            used_by_all +=
                std::max(0.0, equal_part - reported_amount(*each, account));
        const double left = std::max(0.0, total - used_by_all);
        const double own =
            own_report == nullptr ? 0 : reported_amount(*own_report, account);
        allowed[account] =
            own +
            left * std::min(1.0, options.max_equal_parts_per_report / count);
    }
    return allowed;
}

} // namespace bergamotusher::admission
