#include "site/usage_ledger.hpp"

#include <algorithm>

namespace bergamotusher::site
{

void record_run(entry_run& run, std::uint64_t id, std::uint64_t incarnation)
{
    if (id == 0 || id != run.id)
        run = {id, incarnation};
}

void record_usage(
    usage_ledger& ledger,
    const entry_incarnation& source,
    std::uint64_t window,
    const account_id& account,
    std::uint64_t begun)
{
    std::uint64_t& count = ledger.windows[window][source][account];
    count = std::max(count, begun);
}

std::vector<usage_window> windows_to_close(
    const usage_options& options,
    const usage_ledger& ledger,
    const std::deque<usage_window>& closed,
    std::int64_t true_time_ms)
{
    std::vector<usage_window> due;
    const std::int64_t last_ended =
        (true_time_ms - options.close_delay_ms) / options.window_ms - 1;
    const std::int64_t first =
        (true_time_ms - options.report_expiry_ms) / options.window_ms;
    for (std::int64_t k = first; k <= last_ended; ++k)
    {
        const auto number = static_cast<std::uint64_t>(k);
        const bool is_closed = std::any_of(
            closed.begin(),
            closed.end(),
            [&](const usage_window& each) { return each.number == number; });
        const auto found = ledger.windows.find(number);
        // A window without any report ended before the first entry started.
        if (is_closed || found == ledger.windows.end())
            continue;
        usage_window window{number, {}};
        for (const auto& [source, counts] : found->second)
            for (const auto& [account, count] : counts)
                window.counts[account] += count;
        due.push_back(std::move(window));
    }
    return due;
}

void drop_expired_windows(
    const usage_options& options,
    usage_ledger& ledger,
    std::int64_t true_time_ms)
{
    const std::int64_t first =
        (true_time_ms - options.report_expiry_ms) / options.window_ms;
    ledger.windows.erase(
        ledger.windows.begin(),
        ledger.windows.lower_bound(
            static_cast<std::uint64_t>(std::max<std::int64_t>(first, 0))));
}

} // namespace bergamotusher::site
