// How a limit over a sliding window is shared among many entries by what they
// use: each tells one node how much it admitted within the window, and is told
// how much it may have admitted until it reports again.
//
// It answers for many entries and small accounts: where an equal part of the
// limit is less than one large request, the part that others leave unused is
// taken by whoever needs it.
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
    /// Equal parts of what is left that one entry may take between two of its
    /// reports. Requests come in clumps, and few entries get one at a time;
    /// what several take beyond the limit stays in the part of the bound that
    /// `window_bound::used_part` leaves free.
    double parts_at_once = 4;
    /// An entry that was not heard for so long falls back to its equal part,
    /// and is taken to use it.
    duration patience = 1200ms;
};

/// What one start of an entry told last.
struct reported_use
{
    /// Admitted within the window, by account.
    std::map<account_id, double> used;
    time_point heard_at;
    /// When the entry started, by the clock here.
    time_point started_at;
};

/// Reports of all entries; kept by one node at a time. The reports of an
/// entry's earlier starts count until they have left the window.
struct use_ledger
{
    std::map<node_id, std::map<std::uint64_t, reported_use>> entries;
};

/// Takes a report of the start `incarnation` of `entry`, which has run for
/// `uptime`.
void note_use(
    use_ledger& ledger,
    const node_id& entry,
    std::uint64_t incarnation,
    duration uptime,
    std::map<account_id, double> used,
    time_point now);

/// Drops starts of entries whose use has left the window.
void forget_uses(
    use_ledger& ledger, const sharing_options& options, time_point now);

/// What `entry` may have admitted of the account's `total` within the window
/// until it reports again. `entries` is the number of entries that share the
/// limit, also those that did not report here yet.
double allowance(
    const use_ledger& ledger,
    const sharing_options& options,
    const node_id& entry,
    const account_id& account,
    double total,
    std::uint32_t entries,
    time_point now);

} // namespace bergamotusher::admission
