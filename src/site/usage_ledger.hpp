// Counts requests by usage window and client account, from the entries'
// reports, and decides which windows to close.
#pragma once

#include "site/site_state.hpp"

#include <bergamotusher/ids.hpp>
#include <bergamotusher/time.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace bergamotusher::site
{

struct usage_options
{
    /// Window k begins k * window_ms after the Unix epoch, in true time.
    std::int64_t window_ms = 5000;
    /// Delay from the end of a window until it is closed, so that the entries'
    /// reports, sent twice a second, have arrived.
    std::int64_t close_delay_ms = 3000;
    /// Windows that ended longer ago than this are no longer reported; reports
    /// are due ten seconds after the end of the window.
    std::int64_t report_expiry_ms = 30000;
};

/// One run of an entry's process. The process may raise its incarnation while
/// it runs, but what it reports counts once.
struct entry_run
{
    std::uint64_t id = 0;
    /// The incarnation of its first report.
    std::uint64_t first_incarnation = 0;
};

/// Records that a report of the run `id`, or 0 if it names none, came with
/// `incarnation`.
void record_run(entry_run& run, std::uint64_t id, std::uint64_t incarnation);

/// One run of an entry process, by the incarnation of its first report; its
/// counts restart from 0 with each run.
struct entry_incarnation
{
    node_id entry;
    std::uint64_t incarnation = 0;

    auto operator<=>(const entry_incarnation&) const = default;
};

struct usage_ledger
{
    std::map<
        std::uint64_t,
        std::map<entry_incarnation, std::map<account_id, std::uint64_t>>>
        windows;
};

/// Records the number of requests that an entry has begun since the start of
/// the window. Reports may arrive late or twice: the highest count is kept.
void record_usage(
    usage_ledger& ledger,
    const entry_incarnation& source,
    std::uint64_t window,
    const account_id& account,
    std::uint64_t begun);

/// The windows to close now, oldest first, with counts summed over the entries.
/// `closed` holds the windows that are closed already.
std::vector<usage_window> windows_to_close(
    const usage_options& options,
    const usage_ledger& ledger,
    const std::deque<usage_window>& closed,
    std::int64_t true_time_ms);

/// Drops windows that are too old to be reported.
void drop_expired_windows(
    const usage_options& options,
    usage_ledger& ledger,
    std::int64_t true_time_ms);

} // namespace bergamotusher::site
