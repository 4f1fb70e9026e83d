#include "admission/shared_limit.hpp"

#include <algorithm>
#include <cmath>

namespace bergamotusher::admission
{

namespace
{

/// Bounds the command that replicates changes of ceilings.
constexpr std::size_t max_changes = 256;

double amount_of(const account_amounts& amounts, const account_id& account)
{
    const auto found = amounts.find(account);
    return found == amounts.end() ? 0 : found->second;
}

void raise_to(account_amounts& amounts, const account_amounts& others)
{
    for (const auto& [account, amount] : others)
    {
        double& known = amounts[account];
        known = std::max(known, amount);
    }
}

/// The amounts that the entry may have admitted without another grant.
account_amounts committed_amounts(const recorded_use& use)
{
    account_amounts committed = use.report.used;
    raise_to(committed, use.report.held);
    raise_to(committed, use.granted);
    return committed;
}

void add(account_amounts& sum, const account_amounts& amounts, double sign)
{
    for (const auto& [account, amount] : amounts)
        sum[account] += sign * amount;
}

/// Whether the entry keeps to its equal part, as far as the ledger tells. A
/// first grant is no less than that part.
bool was_never_granted(const recorded_use& use)
{
    return use.report.held.empty() && use.granted.empty();
}

void add_to_sums(use_ledger& ledger, const recorded_use& use, double sign)
{
    add(ledger.used, use.report.used, sign);
    add(ledger.wanted, use.report.wanted, sign);
    add(ledger.committed, committed_amounts(use), sign);
    if (was_never_granted(use))
        add(ledger.used_without_grant, use.report.used, sign);
}

/// An amount of 0 stands for a ceiling that is not recorded.
double ceiling_of(
    const account_amounts& ceilings,
    const sharing_options& options,
    const account_id& account,
    double total)
{
    const double recorded = amount_of(ceilings, account);
    return recorded > 0 ? recorded : options.unrecorded_ceiling * total;
}

/// Whether an entry that started at `started` may follow an incarnation that
/// ran within a window before the ledger, so that no report tells its use.
bool may_follow_a_lost_count(
    const use_ledger& ledger,
    const sharing_options& options,
    time_point started)
{
    return started > ledger.created_at - options.bound.window;
}

/// Whether entries that have reported may have used, within the window, amounts
/// that no report tells. Where none ran on through a loss, nothing that was
/// lost is younger than the latest start; where some did, others like them may
/// not have been heard.
bool may_hold_lost_counts(
    const use_ledger& ledger, const sharing_options& options, time_point now)
{
    bool has_lost_one = false;
    bool has_survivor = false;
    time_point latest_start = time_point::min();
    for (const auto& [entry, starts] : ledger.entries)
    {
        const time_point started = starts.begin()->second.started_at;
        if (may_follow_a_lost_count(ledger, options, started))
            has_lost_one = true;
        else
            has_survivor = true;
        latest_start = std::max(latest_start, started);
    }
    return has_lost_one &&
           (has_survivor || now < latest_start + options.bound.window);
}

/// What a ledger says at one moment of all accounts.
struct ledger_reading
{
    const use_ledger& ledger;
    const sharing_options& options;
    /// Number of entries that share the limits.
    std::uint32_t entries = 1;
    time_point now;
    /// Whether entries may have used amounts that no report tells.
    bool has_lost_counts = false;
    /// The equal parts, as a fraction of a total, that entries may use without
    /// a grant.
    double ungranted_fraction = 0;
};

/// The fraction of a total that an entry may use without a grant.
double ungranted_fraction(const ledger_reading& from, const recorded_use& use)
{
    return was_never_granted(use) ? share_of_entry(
                                        from.options.bound,
                                        1,
                                        from.entries,
                                        from.now - use.started_at)
                                  : 0;
}

ledger_reading read_ledger(
    const use_ledger& ledger,
    const sharing_options& options,
    std::uint32_t entries,
    time_point now)
{
    const auto known = static_cast<std::uint32_t>(ledger.entries.size());
    ledger_reading reading{
        ledger, options, std::max({entries, known, std::uint32_t{1}}), now};
    const bool is_young =
        now - ledger.created_at < options.bound.window + options.ledger_warm_up;
    reading.has_lost_counts =
        is_young &&
        (entries > known || may_hold_lost_counts(ledger, options, now));
    for (const auto& [entry, starts] : ledger.entries)
    {
        for (const auto& [incarnation, use] : starts)
            reading.ungranted_fraction += ungranted_fraction(reading, use);
    }
    return reading;
}

/// What a ledger says at one moment of one account.
struct account_reading
{
    double total = 0;
    double used = 0;
    double wanted = 0;
    double committed = 0;
    /// What the ceilings of before allowed to entries whose counts are lost.
    double lost = 0;
    /// What entries may use of their equal parts beyond what they reported.
    double uncounted = 0;
    /// The replicated ceiling.
    double ceiling = 0;
};

account_reading read_account(
    const ledger_reading& from, const account_id& account, double total)
{
    const use_ledger& ledger = from.ledger;
    account_reading result;
    result.total = total;
    result.used = amount_of(ledger.used, account);
    result.wanted = amount_of(ledger.wanted, account);
    result.committed = amount_of(ledger.committed, account);
    if (from.has_lost_counts)
        result.lost = std::max(
            0.0,
            ceiling_of(
                ledger.inherited_ceilings, from.options, account, total) -
                amount_of(ledger.survived, account));
    result.uncounted = std::max(
        0.0,
        from.ungranted_fraction * total -
            amount_of(ledger.used_without_grant, account));
    result.ceiling = ceiling_of(ledger.ceilings, from.options, account, total);
    return result;
}

/// The most that may be granted and assumed as used together. Beyond the total
/// lies what covers lost counts.
double
highest_ceiling(const sharing_options& options, const account_reading& account)
{
    return account.total +
           std::min(
               account.lost, initial_fraction(options.bound) * account.total);
}

/// The ceiling that fits what is used and wanted.
double
fitting_ceiling(const sharing_options& options, const account_reading& account)
{
    double needed = account.used + options.ceiling_margin * account.total;
    // Grants of before there were ceilings, or under a larger limit.
    if (account.committed > account.ceiling)
        needed = std::max(needed, account.committed);
    needed += account.lost + account.uncounted + account.wanted;
    const double step = options.ceiling_step * account.total;
    return std::clamp(
        std::ceil(needed / step) * step,
        options.unrecorded_ceiling * account.total,
        highest_ceiling(options, account));
}

/// The lower ceiling that should be replicated once no more is granted; the
/// present one if there is none.
double lower_ceiling(
    const sharing_options& options,
    const account_reading& account,
    double fitting)
{
    constexpr double steps_apart = 1.5;
    return account.ceiling - fitting >
                   steps_apart * options.ceiling_step * account.total
               ? fitting
               : account.ceiling;
}

struct ceilings_in_force
{
    /// What may be granted at most.
    double binding = 0;
    /// What is granted without being asked for: a ceiling that is to be lowered
    /// is so first.
    double aimed = 0;
};

ceilings_in_force find_ceilings(
    const ledger_reading& from,
    const account_id& id,
    const account_reading& account)
{
    const sharing_options& options = from.options;
    const account_amounts& proposed = from.ledger.proposed_ceilings;
    ceilings_in_force result;
    result.binding =
        std::min(account.ceiling, highest_ceiling(options, account));
    if (proposed.count(id) > 0)
        result.binding = std::min(
            result.binding, ceiling_of(proposed, options, id, account.total));
    result.aimed = std::min(
        result.binding,
        lower_ceiling(options, account, fitting_ceiling(options, account)));
    return result;
}

} // namespace

double allowed_amount(
    const sharing_options& options,
    const std::optional<held_grant>& grant,
    double total,
    std::uint32_t entries,
    duration since_start,
    time_point now)
{
    const double equal_part =
        share_of_entry(options.bound, total, entries, since_start);
    if (!grant)
        return equal_part;
    return now - grant->reported_at <= options.bound.window
               ? grant->amount
               : std::min(grant->amount, equal_part);
}

large_amount treatment_of_large_amounts(
    const sharing_options& options,
    const std::optional<held_grant>& grant,
    duration since_start)
{
    return grant || since_start < options.bound.window
               ? large_amount::refused
               : large_amount::admitted_alone;
}

void record_use(
    use_ledger& ledger,
    const sharing_options& options,
    const node_id& entry,
    std::uint64_t incarnation,
    use_report report,
    time_point now)
{
    const auto [found, is_new] = ledger.entries[entry].try_emplace(incarnation);
    recorded_use& use = found->second;
    add_to_sums(ledger, use, -1);
    // An answer that the entry had not received when it sent the report may
    // still arrive.
    if (report.held_since == use.answered_report)
        use.granted.clear();
    use.started_at = now - report.uptime;
    use.received_at = now;
    use.report = std::move(report);
    add_to_sums(ledger, use, 1);
    if (is_new && !may_follow_a_lost_count(ledger, options, use.started_at))
        add(ledger.survived, committed_amounts(use), 1);
}

void drop_expired_uses(
    use_ledger& ledger, const sharing_options& options, time_point now)
{
    const duration retention = options.bound.window + options.ledger_warm_up;
    for (auto entry = ledger.entries.begin(); entry != ledger.entries.end();)
    {
        auto& starts = entry->second;
        for (auto i = starts.begin(); i != starts.end();)
            i = now - i->second.received_at > retention ? starts.erase(i)
                                                        : std::next(i);
        entry = starts.empty() ? ledger.entries.erase(entry) : std::next(entry);
    }
    // Computed anew, so that rounding errors do not add up.
    ledger.used.clear();
    ledger.wanted.clear();
    ledger.committed.clear();
    ledger.used_without_grant.clear();
    for (const auto& [entry, starts] : ledger.entries)
        for (const auto& [incarnation, use] : starts)
            add_to_sums(ledger, use, 1);
}

void merge_ceilings(account_amounts& ceilings, const account_amounts& changes)
{
    for (const auto& [account, amount] : changes)
        if (amount > 0)
            ceilings[account] = amount;
        else
            ceilings.erase(account);
}

void set_ceilings(
    use_ledger& ledger,
    const sharing_options& options,
    const account_amounts& ceilings,
    time_point now)
{
    ledger.ceilings = ceilings;
    for (auto i = ledger.proposed_ceilings.begin();
         i != ledger.proposed_ceilings.end();)
        i = amount_of(ceilings, i->first) == i->second
                ? ledger.proposed_ceilings.erase(i)
                : std::next(i);
    // The state of before may reach the node shortly after it takes over.
    if (now - ledger.created_at < options.ledger_warm_up / 2)
        ledger.inherited_ceilings = ceilings;
}

account_amounts find_new_ceilings(
    const use_ledger& ledger,
    const sharing_options& options,
    const account_amounts& totals,
    std::uint32_t entries,
    time_point now)
{
    account_amounts changed;
    const duration age = now - ledger.created_at;
    const bool all_reported = entries <= ledger.entries.size();
    if (age <
        (all_reported ? options.ledger_warm_up / 2 : options.ledger_warm_up))
        return changed;
    const ledger_reading reading = read_ledger(ledger, options, entries, now);
    for (const auto& [id, total] : totals)
    {
        if (changed.size() == max_changes)
            break;
        const account_reading account = read_account(reading, id, total);
        const double fitting = fitting_ceiling(options, account);
        const double lower = lower_ceiling(options, account, fitting);
        // Leaves room for what is wanted until the next rise.
        const bool may_lower = account.lost + account.committed +
                                   options.ceiling_margin / 2 * total <=
                               lower;
        double next = account.ceiling;
        if (fitting > next)
            next = fitting;
        else if (may_lower)
            next = lower;
        if (next == account.ceiling && ledger.proposed_ceilings.count(id) == 0)
            continue;
        changed[id] = next <= options.unrecorded_ceiling * total ? 0 : next;
    }
    for (const auto& [account, ceiling] : ledger.ceilings)
        if (totals.count(account) == 0 && changed.size() < max_changes)
            changed[account] = 0;
    return changed;
}

void propose_ceilings(use_ledger& ledger, const account_amounts& ceilings)
{
    for (const auto& [account, ceiling] : ceilings)
        ledger.proposed_ceilings[account] = ceiling;
}

account_amounts grant(
    use_ledger& ledger,
    const sharing_options& options,
    const node_id& entry,
    const account_amounts& totals,
    std::uint32_t entries,
    time_point now)
{
    const auto reported = ledger.entries.find(entry);
    if (reported == ledger.entries.end() ||
        now - ledger.created_at < options.ledger_warm_up)
        return {};
    const ledger_reading reading = read_ledger(ledger, options, entries, now);
    recorded_use& use = reported->second.rbegin()->second;
    const account_amounts own_committed = committed_amounts(use);
    const double own_part = ungranted_fraction(reading, use);
    account_amounts granted;
    for (const auto& [id, total] : totals)
    {
        const account_reading account = read_account(reading, id, total);
        const ceilings_in_force ceilings = find_ceilings(reading, id, account);
        const double own = amount_of(use.report.used, id);
        const double own_uncounted = std::max(0.0, own_part * total - own);
        const double assumed =
            account.lost + std::max(0.0, account.uncounted - own_uncounted);
        const double committed_by_others =
            account.committed - amount_of(own_committed, id);
        const auto free_below = [&](double ceiling)
        {
            return std::max(0.0, ceiling - assumed - committed_by_others - own);
        };
        const double unused =
            std::max(0.0, ceilings.aimed - assumed - account.used);
        const double headroom = std::max(
            std::min(
                unused * options.unasked_fraction / reading.entries,
                free_below(ceilings.aimed)),
            std::min(
                amount_of(use.report.wanted, id),
                free_below(ceilings.binding)));
        // Until the answer arrives, an entry without a grant may use its equal
        // part; the grant is no less.
        granted[id] = std::max(own + headroom, own_part * total);
    }
    add_to_sums(ledger, use, -1);
    raise_to(use.granted, granted);
    use.answered_report = use.report.sent_at;
    add_to_sums(ledger, use, 1);
    return granted;
}

} // namespace bergamotusher::admission
