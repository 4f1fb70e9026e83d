#include "admission/shared_limit.hpp"

#include <algorithm>
#include <cmath>
#include <vector>

namespace bergamotusher::admission
{

namespace
{

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

void add_to_sums(use_ledger& ledger, const recorded_use& use, double sign)
{
    add(ledger.used, use.report.used, sign);
    add(ledger.wanted, use.report.wanted, sign);
    add(ledger.committed, committed_amounts(use), sign);
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

/// Whether the use of an earlier incarnation of the entry may be missing in the
/// ledger.
bool may_have_lost_its_count(
    const use_ledger& ledger,
    const sharing_options& options,
    time_point started)
{
    return started > ledger.created_at - options.bound.window;
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
    /// The latest reports of entries that hold no grant, and so may use their
    /// equal part.
    std::vector<const recorded_use*> without_grant{};
};

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
    reading.has_lost_counts = is_young && entries > known;
    for (const auto& [entry, starts] : ledger.entries)
    {
        if (is_young && may_have_lost_its_count(
                            ledger, options, starts.begin()->second.started_at))
            reading.has_lost_counts = true;
        if (const recorded_use& latest = starts.rbegin()->second;
            latest.report.held.empty())
            reading.without_grant.push_back(&latest);
    }
    return reading;
}

/// What the ceilings of before allowed to entries whose counts are lost.
double
lost_amount(const ledger_reading& from, const account_id& account, double total)
{
    if (!from.has_lost_counts)
        return 0;
    const double ceiling = ceiling_of(
        from.ledger.inherited_ceilings, from.options, account, total);
    return std::max(0.0, ceiling - amount_of(from.ledger.survived, account));
}

/// What entries other than `except` may use of their equal parts beyond what
/// the ledger counts as committed.
double uncounted_amount(
    const ledger_reading& from,
    const account_id& account,
    double total,
    const recorded_use* except = nullptr)
{
    double sum = 0;
    for (const recorded_use* each : from.without_grant)
    {
        if (each == except)
            continue;
        const double equal_part = share_of_entry(
            from.options.bound,
            total,
            from.entries,
            from.now - each->started_at);
        const double committed = std::max(
            amount_of(each->report.used, account),
            amount_of(each->granted, account));
        sum += std::max(0.0, equal_part - committed);
    }
    return sum;
}

/// The most that may be granted and assumed as used together. Beyond the total
/// lies what covers lost counts.
double
highest_ceiling(const sharing_options& options, double total, double lost)
{
    return total + std::min(lost, initial_fraction(options.bound) * total);
}

/// The ceiling that fits what is used and wanted.
double fitting_ceiling(
    const ledger_reading& from, const account_id& account, double total)
{
    const sharing_options& options = from.options;
    const double lost = lost_amount(from, account, total);
    double needed =
        amount_of(from.ledger.used, account) + options.ceiling_margin * total;
    // Grants of before there were ceilings, or under a larger limit.
    const double committed = amount_of(from.ledger.committed, account);
    if (committed > ceiling_of(from.ledger.ceilings, options, account, total))
        needed = std::max(needed, committed);
    needed += lost + uncounted_amount(from, account, total) +
              amount_of(from.ledger.wanted, account);
    const double step = options.ceiling_step * total;
    return std::clamp(
        std::ceil(needed / step) * step,
        options.unrecorded_ceiling * total,
        highest_ceiling(options, total, lost));
}

/// The lower ceiling that should be replicated once no more is granted;
/// `current` if there is none.
double lower_ceiling(
    const sharing_options& options,
    double current,
    double fitting,
    double total)
{
    constexpr double steps_apart = 1.5;
    return current - fitting > steps_apart * options.ceiling_step * total
               ? fitting
               : current;
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
    const ledger_reading& from, const account_id& account, double total)
{
    const sharing_options& options = from.options;
    const use_ledger& ledger = from.ledger;
    const double recorded =
        ceiling_of(ledger.ceilings, options, account, total);
    ceilings_in_force result;
    result.binding = std::min(
        recorded,
        highest_ceiling(options, total, lost_amount(from, account, total)));
    if (ledger.proposed_ceilings.count(account) > 0)
        result.binding = std::min(
            result.binding,
            ceiling_of(ledger.proposed_ceilings, options, account, total));
    result.aimed = std::min(
        result.binding,
        lower_ceiling(
            options, recorded, fitting_ceiling(from, account, total), total));
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
    const bool is_new = ledger.entries[entry].count(incarnation) == 0;
    recorded_use& use = ledger.entries[entry][incarnation];
    add_to_sums(ledger, use, -1);
    // An answer that the entry had not received when it sent the report may
    // still arrive.
    if (report.held_since == use.answered_report)
        use.granted.clear();
    use.started_at = now - report.uptime;
    use.received_at = now;
    use.report = std::move(report);
    add_to_sums(ledger, use, 1);
    if (is_new && !may_have_lost_its_count(ledger, options, use.started_at))
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
    if (now - ledger.created_at < options.ledger_warm_up / 2)
        return changed;
    const ledger_reading reading = read_ledger(ledger, options, entries, now);
    for (const auto& [account, total] : totals)
    {
        const double current =
            ceiling_of(ledger.ceilings, options, account, total);
        const double fitting = fitting_ceiling(reading, account, total);
        const double lower = lower_ceiling(options, current, fitting, total);
        // Leaves room for what is wanted until the next rise.
        const bool may_lower = lost_amount(reading, account, total) +
                                   amount_of(ledger.committed, account) +
                                   options.ceiling_margin / 2 * total <=
                               lower;
        if (fitting <= current && (lower >= current || !may_lower))
            continue;
        changed[account] =
            fitting <= options.unrecorded_ceiling * total ? 0 : fitting;
    }
    for (const auto& [account, ceiling] : ledger.ceilings)
        if (totals.count(account) == 0)
            changed[account] = 0;
    return changed;
}

void propose_ceilings(use_ledger& ledger, const account_amounts& ceilings)
{
    ledger.proposed_ceilings = ceilings;
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
    account_amounts granted;
    for (const auto& [account, total] : totals)
    {
        const ceilings_in_force ceilings =
            find_ceilings(reading, account, total);
        const double assumed = lost_amount(reading, account, total) +
                               uncounted_amount(reading, account, total, &use);
        const double own = amount_of(use.report.used, account);
        const double committed_by_others =
            amount_of(ledger.committed, account) -
            amount_of(own_committed, account);
        const auto free_below = [&](double ceiling)
        {
            return std::max(0.0, ceiling - assumed - committed_by_others - own);
        };
        const double unused = std::max(
            0.0, ceilings.aimed - assumed - amount_of(ledger.used, account));
        const double headroom = std::max(
            std::min(
                unused * options.unasked_fraction / reading.entries,
                free_below(ceilings.aimed)),
            std::min(
                amount_of(use.report.wanted, account),
                free_below(ceilings.binding)));
        // Until the answer arrives, an entry without a grant may use its equal
        // part; the grant is no less.
        granted[account] = std::max(
            own + headroom,
            use.report.held.empty() ? share_of_entry(
                                          options.bound,
                                          total,
                                          reading.entries,
                                          now - use.started_at)
                                    : 0);
    }
    add_to_sums(ledger, use, -1);
    raise_to(use.granted, granted);
    use.answered_report = use.report.sent_at;
    add_to_sums(ledger, use, 1);
    return granted;
}

} // namespace bergamotusher::admission
