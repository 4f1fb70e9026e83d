// Limits that many entries share by what each of them uses.
#include "admission/shared_limit.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <random>
#include <vector>

using namespace bergamotusher;
using namespace bergamotusher::admission;

namespace
{

constexpr time_point start{1000s};
constexpr std::uint32_t entries = 27;
constexpr double large_request = 9'400;

sharing_options options_of_the_operators()
{
    sharing_options options;
    options.bound.window = 8s;
    options.bound.overshoot = 0.1;
    options.bound.slack = 110'000;
    return options;
}

node_id name(std::size_t index)
{
    return {"entry-" + std::to_string(index)};
}

/// Entries that admit an account's requests, report every 400 ms, at once if
/// they are pressed, and a leader that answers.
struct fleet
{
    struct one
    {
        window_usage usage;
        double allowed = 0;
        time_point allowed_at;
        time_point started_at = start - 1h;
        time_point report_at;
        std::uint64_t incarnation = 1;
        bool pressed = false;
        bool cut_off = false;
    };

    sharing_options options = options_of_the_operators();
    account_id account{"small"};
    double rate = 29'000;
    use_ledger ledger;
    std::vector<one> all = std::vector<one>(entries);
    std::vector<std::pair<time_point, double>> admitted;
    std::uint32_t refused = 0;
    std::mt19937 random{7};
    time_point now = start;

    double total() const
    {
        return window_total(options.bound, rate, rate);
    }

    void report(std::size_t index)
    {
        one& entry = all[index];
        entry.pressed = false;
        if (entry.cut_off)
            return;
        note_use(
            ledger,
            name(index),
            entry.incarnation,
            now - entry.started_at,
            {{account, admitted_within(entry.usage, options.bound, now)}},
            now);
        entry.allowed = allowance(
            ledger, options, name(index), account, total(), entries, now);
        entry.allowed_at = now;
    }

    void ask(std::size_t index, double amount)
    {
        one& entry = all[index];
        const bool shared = now - entry.allowed_at < options.patience;
        const double allowed =
            shared
                ? entry.allowed
                : share_of_entry(
                      options.bound, total(), entries, now - entry.started_at);
        const auto wait = admit(
            entry.usage,
            options.bound,
            allowed,
            amount,
            now,
            shared ? large_amount::refused : large_amount::admitted_alone);
        entry.pressed = true;
        if (wait)
            ++refused;
        else
            admitted.emplace_back(now, amount);
    }

    /// Requests of `tokens` tokens a second at random entries.
    void play(duration span, double tokens)
    {
        constexpr duration step = 10ms;
        constexpr duration reports = 400ms;
        constexpr duration pressed = 100ms;
        std::poisson_distribution<int> arrivals(
            tokens / large_request * to_seconds(step));
        for (const time_point end = now + span; now < end; now += step)
        {
            for (std::size_t i = 0; i < all.size(); ++i)
                if (now >= all[i].report_at ||
                    (all[i].pressed && now - all[i].allowed_at >= pressed))
                {
                    report(i);
                    all[i].report_at = now + reports;
                }
            for (int i = arrivals(random); i > 0; --i)
                ask(random() % all.size(), large_request);
            forget_uses(ledger, options, now);
        }
    }

    void restart(std::size_t index)
    {
        const std::uint64_t next = all[index].incarnation + 1;
        all[index] = {};
        all[index].started_at = now;
        all[index].incarnation = next;
    }

    /// The most that any window held.
    double fullest_window() const
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

} // namespace

TEST_CASE("a small account is not refused because its requests meet few of "
          "many entries")
{
    fleet world;
    // The equal part of an entry is little more than one large request.
    CHECK(world.total() / entries < 1.5 * large_request);
    world.play(60s, 0.55 * world.rate);
    CHECK(world.refused <= world.admitted.size() / 100);
}

TEST_CASE("no window holds more than the operators' bound")
{
    fleet world;
    world.play(10s, 0.5 * world.rate);

    SECTION("while an account sends many times its usual")
    {
        world.play(15s, 5 * world.rate);
        CHECK(world.refused > 0);
    }
    SECTION("while a large account sends many times its usual")
    {
        world.rate = 220'000;
        world.play(15s, 5 * world.rate);
    }
    SECTION("while half of the entries start again")
    {
        world.play(4s, 3 * world.rate);
        for (std::size_t i = 0; i < world.all.size(); i += 2)
            world.restart(i);
        world.play(12s, 3 * world.rate);
    }
    SECTION("while another node takes the ledger over")
    {
        world.play(4s, 3 * world.rate);
        world.ledger = {};
        world.play(12s, 3 * world.rate);
    }
    SECTION("while a fifth of the entries cannot reach the leader")
    {
        for (std::size_t i = 0; i < world.all.size(); i += 5)
            world.all[i].cut_off = true;
        world.play(12s, 3 * world.rate);
    }
    SECTION("while all entries and the leader start again")
    {
        world.play(4s, 3 * world.rate);
        world.ledger = {};
        for (std::size_t i = 0; i < world.all.size(); ++i)
            world.restart(i);
        world.now += 1s;
        world.play(12s, 3 * world.rate);
    }
    CHECK(world.fullest_window() <= world.operators_bound());
}
