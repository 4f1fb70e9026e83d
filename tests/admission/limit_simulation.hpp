// Simulation of entries that share the limit of one account through a leader.
#pragma once

#include "admission/shared_limit.hpp"

#include <algorithm>
#include <optional>
#include <random>
#include <utility>
#include <vector>

namespace limit_simulation
{

using namespace bergamotusher;
using namespace bergamotusher::admission;

constexpr time_point start{1000s};
constexpr std::uint32_t many_entries = 27;
constexpr double large_request = 9'400;

inline sharing_options operator_options()
{
    sharing_options options;
    options.bound.window = 8s;
    options.bound.overshoot = 0.1;
    options.bound.slack = 110'000;
    return options;
}

inline node_id name(std::size_t index)
{
    return {"entry-" + std::to_string(index)};
}

/// Entries that admit one account's requests and report their use to a leader
/// every 400 ms, or after 100 ms if they used much of their grant. The answer
/// takes a while to arrive.
struct entries_simulation
{
    struct waiting_request
    {
        time_point since;
        double amount = 0;
    };
    struct answer
    {
        time_point arrives_at;
        time_point reported_at;
        double granted = 0;
    };
    struct simulated_entry
    {
        window_usage usage;
        std::optional<held_grant> grant;
        time_point reported_at;
        double wanted = 0;
        std::vector<waiting_request> waiting;
        std::vector<answer> answers;
        time_point started_at = start - 1h;
        std::uint64_t incarnation = 1;
        bool is_report_urgent = false;
        bool disconnected = false;
    };

    sharing_options options = operator_options();
    account_id account{"small"};
    double rate = 29'000;
    duration answer_time = 5ms;
    use_ledger ledger;
    /// The ceilings that every leader finds, and those on their way there.
    account_amounts replicated;
    std::optional<std::pair<time_point, account_amounts>> replicating;
    duration replication_time = 30ms;
    std::uint32_t rounds = 0;
    std::vector<simulated_entry> all;
    std::vector<std::pair<time_point, double>> admitted;
    std::uint32_t refused = 0;
    std::mt19937 random{7};
    time_point now = start;

    explicit entries_simulation(std::size_t entries = many_entries)
        : all(entries)
    {
    }

    std::uint32_t entries() const
    {
        return static_cast<std::uint32_t>(all.size());
    }

    double total() const
    {
        return window_total(options.bound, rate, rate);
    }

    void report(std::size_t index)
    {
        simulated_entry& entry = all[index];
        entry.is_report_urgent = false;
        entry.reported_at = now;
        if (entry.disconnected)
            return;
        use_report use;
        use.used[account] = admitted_within(entry.usage, options.bound, now);
        if (entry.grant)
        {
            use.held[account] = entry.grant->amount;
            use.held_since = entry.grant->reported_at;
        }
        use.wanted[account] = std::exchange(entry.wanted, 0);
        use.sent_at = now;
        use.uptime = now - entry.started_at;
        record_use(ledger, options, name(index), entry.incarnation, use, now);
        const auto granted = grant(
            ledger, options, name(index), {{account, total()}}, entries(), now);
        if (!granted.empty())
            entry.answers.push_back(
                {now + answer_time, now, granted.at(account)});
    }

    void receive_answers(simulated_entry& entry)
    {
        while (!entry.answers.empty() &&
               entry.answers.front().arrives_at <= now)
        {
            const answer received = entry.answers.front();
            entry.answers.erase(entry.answers.begin());
            entry.grant = {received.granted, received.reported_at};
            for (const waiting_request& each : std::exchange(entry.waiting, {}))
                if (each.since >= received.reported_at)
                    entry.waiting.push_back(each);
                else if (!try_admit(entry, each.amount))
                    ++refused;
        }
        for (const waiting_request& each : std::exchange(entry.waiting, {}))
            if (now - each.since < 300ms)
                entry.waiting.push_back(each);
            else
                ++refused;
    }

    void update_ceilings()
    {
        if (replicating && replicating->first <= now)
        {
            merge_ceilings(replicated, replicating->second);
            set_ceilings(ledger, options, replicated, now);
            replicating.reset();
        }
        if (replicating)
            return;
        const auto changed = find_new_ceilings(
            ledger, options, {{account, total()}}, entries(), now);
        if (changed.empty())
            return;
        ++rounds;
        propose_ceilings(ledger, changed);
        replicating = {now + replication_time, changed};
    }

    bool try_admit(simulated_entry& entry, double amount)
    {
        const double allowed = allowed_amount(
            options,
            entry.grant,
            total(),
            entries(),
            now - entry.started_at,
            now);
        const double before = entry.usage.sum;
        const auto wait = admit(
            entry.usage,
            options.bound,
            allowed,
            amount,
            now,
            treatment_of_large_amounts(
                options, entry.grant, now - entry.started_at));
        if (amount > 0.25 * (allowed - before))
            entry.is_report_urgent = true;
        if (!wait)
            admitted.emplace_back(now, amount);
        return !wait;
    }

    void offer_request(simulated_entry& entry, double amount)
    {
        if (try_admit(entry, amount))
            return;
        entry.wanted += amount;
        if (entry.grant)
            entry.waiting.push_back({now, amount});
        else
            ++refused;
    }

    /// Simulates `span` with requests of `tokens` tokens per second in total at
    /// random entries.
    void run(duration span, double tokens)
    {
        constexpr duration step = 10ms;
        constexpr duration report_interval = 400ms;
        constexpr duration early_report_interval = 100ms;
        std::poisson_distribution<int> arrivals(
            tokens / large_request * to_seconds(step));
        for (const time_point end = now + span; now < end; now += step)
        {
            for (std::size_t i = 0; i < all.size(); ++i)
            {
                const duration since_report = now - all[i].reported_at;
                if (since_report >= report_interval ||
                    (all[i].is_report_urgent &&
                     since_report >= early_report_interval))
                    report(i);
                receive_answers(all[i]);
            }
            update_ceilings();
            for (int i = arrivals(random); i > 0; --i)
                offer_request(all[random() % all.size()], large_request);
            drop_expired_uses(ledger, options, now);
        }
    }

    void restart(std::size_t index)
    {
        const std::uint64_t next = all[index].incarnation + 1;
        all[index] = {};
        all[index].started_at = now;
        all[index].incarnation = next;
    }

    void replace_leader()
    {
        replicating.reset();
        ledger = {};
        ledger.created_at = now;
        set_ceilings(ledger, options, replicated, now);
    }

    /// Largest amount admitted in any window.
    double max_window_use() const
    {
        double most = 0;
        double sum = 0;
        std::size_t first = 0;
        for (const auto& [at, amount] : admitted)
        {
            sum += amount;
            while (at - admitted[first].first > options.bound.window)
                sum -= admitted[first++].second;
            most = std::max(most, sum);
        }
        return most;
    }

    double operators_bound() const
    {
        return (rate * 8 + rate) * (1 + options.bound.overshoot) +
               options.bound.slack;
    }
};

} // namespace limit_simulation
