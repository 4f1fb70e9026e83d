// Sharing of a sliding-window limit among many entries by actual use.
//
// Each entry reports to one node how much it admitted within the window, and is
// granted an amount that it may have admitted in any window until the next
// grant. The grants of all entries together stay within the limit, so that
// entries may use them at the same time. This suits many entries and small
// accounts: where an equal part of the limit is less than one large request,
// the unused part of the other entries goes to whichever entry needs it.
//
// Ceilings bound what may have been used if all processes lose their counts.
// They are replicated before grants rise to them: a node that takes over then
// counts, for entries that have started anew, what the ceiling allowed them.
#pragma once

#include "admission/window_limit.hpp"

#include <bergamotusher/ids.hpp>
#include <bergamotusher/time.hpp>

#include <cstdint>
#include <map>
#include <optional>

namespace bergamotusher::admission
{

struct sharing_options
{
    window_bound bound;
    /// Fraction of the unused limit that is granted in equal parts before it
    /// is asked for. The rest goes to the entries that ask for more.
    double unasked_fraction = 0.5;
    /// A new ledger grants nothing for this long, by when every entry has
    /// reported the grant that it holds.
    duration ledger_warm_up = 500ms;
    /// Ceilings are multiples of this fraction of the total, so that they
    /// change seldom. What is recorded above the use is missing for a window
    /// after a loss of all counts.
    double ceiling_step = 0.0625;
    /// The ceiling of an account without a recorded one, as a fraction of the
    /// total.
    double unrecorded_ceiling = 0.5;
    /// A ceiling is raised while this fraction of the total is still free below
    /// it, since that takes a round of replication.
    double ceiling_margin = 0.2;
};

/// What an entry was granted of an account's limit.
struct held_grant
{
    double amount = 0;
    /// When the entry sent the report that was answered with the grant.
    time_point reported_at;
};

/// The amount of an account's total that an entry may have admitted within the
/// window. A grant holds for one window; an entry without one keeps to its
/// equal part.
double allowed_amount(
    const sharing_options& options,
    const std::optional<held_grant>& grant,
    double total,
    std::uint32_t entries,
    duration since_start,
    time_point now);

/// How an entry treats an amount above all that it is allowed. Its equal part
/// may be less than one request: without a grant it admits such a request
/// alone, but not within its first window, when it does not know what it
/// admitted before.
large_amount treatment_of_large_amounts(
    const sharing_options& options,
    const std::optional<held_grant>& grant,
    duration since_start);

/// Amounts by account.
using account_amounts = std::map<account_id, double>;

/// An entry's report of its use of the limits.
struct use_report
{
    /// Amount admitted within the window.
    account_amounts used;
    /// The grants that the entry holds, and when it sent the report that was
    /// answered with them.
    account_amounts held;
    time_point held_since;
    /// Amounts that did not fit into the grant.
    account_amounts wanted;
    /// When the entry sent the report, and how long it has been running.
    time_point sent_at;
    duration uptime{};
};

/// The latest report of one incarnation of an entry.
struct recorded_use
{
    use_report report;
    /// The most that was granted since the grant that the entry holds.
    account_amounts granted;
    /// `sent_at` of the report that was answered last.
    time_point answered_report;
    time_point received_at;
    /// Start of the entry, by the local clock.
    time_point started_at;
};

/// Reports of all entries; kept by one node at a time. Reports of an entry's
/// earlier incarnations count until they have left the window.
struct use_ledger
{
    std::map<node_id, std::map<std::uint64_t, recorded_use>> entries;
    /// Over all reports, the amounts used, and the amounts that may be used
    /// without another grant.
    account_amounts used;
    account_amounts wanted;
    account_amounts committed;
    /// The part of `used` of entries that were never granted anything.
    account_amounts used_without_grant;
    time_point created_at;
    /// As replicated.
    account_amounts ceilings;
    /// Ceilings whose replication began, until they are in the replicated
    /// state. The lower of both binds.
    account_amounts proposed_ceilings;
    /// The ceilings when the ledger was created, and the part of what they
    /// allowed that entries which still run have reported.
    account_amounts inherited_ceilings;
    account_amounts survived;
};

/// Applies changes of ceilings; an amount of 0 removes one.
void merge_ceilings(account_amounts& ceilings, const account_amounts& changes);

/// Takes over the replicated ceilings.
void set_ceilings(
    use_ledger& ledger,
    const sharing_options& options,
    const account_amounts& ceilings,
    time_point now);

/// The ceilings that should be replicated; see `merge_ceilings`. If there are
/// many, some of them. Includes those whose earlier replication has no clear
/// end: to be called only while none is under way. `entries` is as in `grant`.
account_amounts find_new_ceilings(
    const use_ledger& ledger,
    const sharing_options& options,
    const account_amounts& totals,
    std::uint32_t entries,
    time_point now);

/// Replication of `ceilings` has begun.
void propose_ceilings(use_ledger& ledger, const account_amounts& ceilings);

/// Records a report of incarnation `incarnation` of `entry`.
void record_use(
    use_ledger& ledger,
    const sharing_options& options,
    const node_id& entry,
    std::uint64_t incarnation,
    use_report report,
    time_point now);

/// Removes the reports that have left the window.
void drop_expired_uses(
    use_ledger& ledger, const sharing_options& options, time_point now);

/// Grants `entry` an amount of each account's total in answer to its latest
/// report, and records it; nothing if the ledger is too new. `entries` is the
/// number of entries that share the limits, including those that have not
/// reported yet.
account_amounts grant(
    use_ledger& ledger,
    const sharing_options& options,
    const node_id& entry,
    const account_amounts& totals,
    std::uint32_t entries,
    time_point now);

} // namespace bergamotusher::admission
