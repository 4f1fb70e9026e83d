// Counts of requests that began, by usage window and account, as the entries
// report them, and which windows are to be closed.
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
    /// Window k begins k times this after 1970, in true time.
    std::int64_t window_ms = 5000;
    /// From the end of a window until it is closed, so that the entries'
    /// reports have come; they report twice a second.
    std::int64_t close_after_ms = 3000;
    /// Windows that ended longer ago are not reported any more: they are due
    /// ten seconds after their end.
    std::int64_t give_up_after_ms = 30000;
};

/// One start of an entry.
struct usage_source
{
    node_id entry;
    std::uint64_t incarnation = 0;

    auto operator<=>(const usage_source&) const = default;
};

struct usage_ledger
{
    std::map<
        std::uint64_t,
        std::map<usage_source, std::map<account_id, std::uint64_t>>>
        windows;
};

/// Takes an entry's count, which counts from the start of the window.
void note_usage(
    usage_ledger& ledger,
    const usage_source& source,
    std::uint64_t window,
    const account_id& account,
    std::uint64_t begun);

/// The windows that are to be closed now, oldest first. `closed` holds the
/// numbers of those that were.
std::vector<usage_window> due_windows(
    const usage_options& options,
    const usage_ledger& ledger,
    const std::deque<usage_window>& closed,
    std::int64_t true_time_ms);

/// Drops windows that nobody asks for any more.
void forget_windows(
    const usage_options& options,
    usage_ledger& ledger,
    std::int64_t true_time_ms);

} // namespace bergamotusher::site
