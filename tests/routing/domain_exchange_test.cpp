// How much of a failure domain's arrivals leaves for others.
#include "routing/domain_exchange.hpp"

#include <catch2/catch.hpp>

#include <deque>
#include <string>

using namespace bergamotusher;
using namespace bergamotusher::routing;

namespace
{

const exchange_options options;
constexpr time_point start{1000s};

failure_domain domain(int number)
{
    return {"d" + std::to_string(number)};
}

std::vector<domain_state>
domains(const std::vector<std::pair<double, double>>& arrivals_and_capacities)
{
    std::vector<domain_state> all;
    all.reserve(arrivals_and_capacities.size());
    for (const auto& [arrivals, capacity] : arrivals_and_capacities)
        all.push_back(
            {domain(static_cast<int>(all.size())), arrivals, capacity});
    return all;
}

/// Arrivals that may enter each domain, by the shares of all others.
double may_enter(const std::vector<domain_state>& all, const domain_state& to)
{
    double sum = 0;
    for (const domain_state& each : all)
        if (!(each.domain == to.domain))
            sum += each.arrival_rate *
                   target_shares(options, all, each.domain).at(to.domain);
    return sum;
}

/// The shares of `own` while it hears what `at` tells with a delay.
struct follower
{
    duration delay{};
    exchange_state state;
    std::deque<std::pair<time_point, std::vector<domain_state>>> under_way;
    int reversals = 0;
    double last_change = 0;

    void tick(const std::vector<domain_state>& truth, time_point now)
    {
        under_way.emplace_back(now + delay, truth);
        while (!under_way.empty() && under_way.front().first <= now)
        {
            record_domains(state, under_way.front().second, now);
            under_way.pop_front();
        }
        for (const share_change& each :
             step_shares(options, state, domain(0), now))
        {
            REQUIRE(std::abs(each.share - each.before) <= options.step + 1e-9);
            if (!(each.to == domain(1)))
                continue;
            const double change = each.share - each.before;
            reversals += change * last_change < 0 ? 1 : 0;
            last_change = change;
        }
    }
};

} // namespace

TEST_CASE("a full domain sends what it cannot take to where room is left")
{
    const auto all = domains({{200, 100}, {50, 100}, {85, 100}});
    const leaving_shares shares = target_shares(options, all, domain(0));
    CHECK(shares.at(domain(1)) * 200 == Approx(40));
    CHECK(shares.at(domain(2)) * 200 == Approx(5));
    SECTION("and gets nothing from them")
    {
        CHECK(target_shares(options, all, domain(1)).at(domain(0)) == 0);
        CHECK(target_shares(options, all, domain(2)).at(domain(0)) == 0);
    }
}

TEST_CASE("full domains do not exchange their requests")
{
    for (int count = 2; count <= 15; ++count)
    {
        const auto all = domains({static_cast<std::size_t>(count), {95, 100}});
        for (const auto& [to, share] : target_shares(options, all, domain(0)))
            CHECK(share == 0);
    }
}

TEST_CASE("no domain is filled so that it would send on")
{
    for (int count = 2; count <= 15; ++count)
    {
        std::vector<std::pair<double, double>> values;
        values.reserve(static_cast<std::size_t>(count));
        for (int i = 0; i < count; ++i)
            values.emplace_back(20 + 37 * i % 150, 100);
        const auto all = domains(values);
        for (const domain_state& each : all)
            CHECK(
                may_enter(all, each) <=
                std::max(90 - each.arrival_rate, 0.0) + 1e-9);
    }
    SECTION("nor in a chain of three")
    {
        const auto all = domains({{150, 100}, {80, 100}, {10, 100}});
        CHECK(may_enter(all, all[1]) <= 10 + 1e-9);
        CHECK(target_shares(options, all, domain(1)).at(domain(0)) == 0);
    }
}

TEST_CASE("domains that have ample room are not bounded")
{
    exchange_state state;
    record_domains(state, domains({{20, 100}, {20, 100}, {20, 100}}), start);
    CHECK(step_shares(options, state, domain(0), start).empty());
    for (int i = 0; i < 50; ++i)
        record_sent(options, state, domain(1), start);
    CHECK(surcharge_ms(options, state, domain(1), 12) == 12);
}

TEST_CASE("an entry that hears nothing charges what it charged before")
{
    exchange_state state;
    const transfer_terms untold;
    CHECK(transfer_cost_ms(untold) == 12);
    CHECK(surcharge_ms(options, state, domain(1), 12) == 12);
    SECTION("also after reports that have become old")
    {
        record_domains(state, domains({{50, 100}, {100, 100}}), start);
        for (time_point now = start; now < start + 3s; now += 500ms)
            step_shares(options, state, domain(0), now);
        CHECK(surcharge_ms(options, state, domain(1), 12) == 12);
        record_domains(state, domains({{50, 100}, {100, 100}}), start + 3s);
        for (time_point now = start + 3s; now < start + 6s; now += 500ms)
            step_shares(options, state, domain(0), now);
        CHECK(surcharge_ms(options, state, domain(1), 12) == 60);
        step_shares(options, state, domain(0), start + 7s);
        CHECK(surcharge_ms(options, state, domain(1), 12) == 12);
    }
}

TEST_CASE("requests beyond the share pay more")
{
    exchange_state state;
    state.shares[domain(1)] = 0.2;
    int left = 0;
    for (int i = 0; i < 1000; ++i)
    {
        const bool leaves = surcharge_ms(options, state, domain(1), 12) == 12;
        left += leaves ? 1 : 0;
        record_sent(options, state, domain(leaves ? 1 : 0), start + i * 10ms);
    }
    CHECK(left == Approx(200).margin(15));
}

TEST_CASE("shares follow lost upstreams and their return without swinging")
{
    for (const duration delay : {100ms, 500ms, 1000ms, 2000ms})
        for (std::size_t count = 2; count <= 15; ++count)
        {
            CAPTURE(delay.count(), count);
            follower entry;
            entry.delay = delay;
            // The receiver is nearly full until the own upstreams are lost.
            std::vector<std::pair<double, double>> values(count, {80, 100});
            const auto sound = domains(values);
            values[1] = {10, 100};
            values[0] = {80, 0};
            const auto lost = domains(values);
            time_point now = start;
            const auto run = [&](const auto& truth, duration length)
            {
                for (const time_point end = now + length; now < end;
                     now += 100ms)
                    entry.tick(truth, now);
                return entry.state.shares.at(domain(1));
            };
            const double before = run(sound, 12s);
            const double during = run(lost, 12s);
            const double after = run(sound, 12s);
            const double target =
                target_shares(options, lost, domain(0)).at(domain(1));
            CHECK(target > 5 * before);
            CHECK(std::abs(during - target) <= options.min_change);
            CHECK(std::abs(after - before) <= options.min_change);
            // Down from no bound, up with the loss and down again.
            CHECK(entry.reversals <= 2);
        }
}
