// Sharing of a sliding-window limit among many entries by actual use.
//
// Each entry reports to one node how much it admitted within the window, and is
// told how much it may have admitted by its next report. This suits many
// entries and small accounts: where an equal part of the limit is less than one
// large request, the unused part of the other entries goes to whichever entry
// needs it.
#pragma once

#include "admission/window_limit.hpp"

#include <bergamotusher/ids.hpp>
#include <bergamotusher/time.hpp>

#include <cstdint>
#include <map>

namespace bergamotusher::admission
{

struct sharing_options
{
    window_bound bound;
    /// Number of equal parts of the remaining limit that one entry may use
    /// between two of its reports. Requests arrive in bursts at few entries at
    /// a time. If several entries together exceed the limit by this, the excess
    /// stays within the part of the bound that `window_bound::usable_fraction`
    /// leaves free.
    double max_equal_parts_per_report = 4;
    /// An entry without a report for this long falls back to its equal part of
    /// the limit, and is assumed to use all of it.
    duration report_timeout = 1200ms;
};

/// The latest report of one incarnation of an entry.
struct reported_use
{
    /// Amount admitted within the window, by account.
    std::map<account_id, double> used;
    time_point received_at;
    /// Start of the entry, by the local clock.
    time_point started_at;
};

/// Reports of all entries; kept by one node at a time. Reports of an entry's
/// earlier incarnations count until they have left the window.
struct use_ledger
{
    std::map<node_id, std::map<std::uint64_t, reported_use>> entries;
    /// Sum over all reports, by account.
    std::map<account_id, double> reported;
};

/// Records a report of incarnation `incarnation` of `entry`, which has been
/// running for `uptime`.
void record_use(
    use_ledger& ledger,
    const node_id& entry,
    std::uint64_t incarnation,
    duration uptime,
    std::map<account_id, double> used,
    time_point now);

/// Removes the reports that have left the window.
void drop_expired_uses(
    use_ledger& ledger, const sharing_options& options, time_point now);

/// The total limits of accounts that are shared.
using account_totals = std::map<account_id, double>;

/// The amount of each account's total that `entry` may have admitted within the
/// window until its next report. `entries` is the number of entries that share
/// the limits, including those that have not reported yet.
account_totals allowances(
    const use_ledger& ledger,
    const sharing_options& options,
    const node_id& entry,
    const account_totals& totals,
    std::uint32_t entries,
    time_point now);

} // namespace bergamotusher::admission
