// Limits that many entries share by their reported use.
#include "admission/limit_simulation.hpp"

#include <catch2/catch.hpp>

using namespace limit_simulation;

TEST_CASE("a small account is not refused because its requests meet few of "
          "many entries")
{
    entries_simulation simulation;
    // An entry's equal part of the limit is little more than one large request.
    CHECK(simulation.total() / many_entries < 1.5 * large_request);
    simulation.run(60s, 0.55 * simulation.rate);
    CHECK(simulation.refused <= simulation.admitted.size() / 100);
}

TEST_CASE("no window exceeds the operators' bound")
{
    entries_simulation simulation;
    simulation.run(10s, 0.5 * simulation.rate);

    SECTION("while a small account sends five times its rate")
    {
        simulation.run(15s, 5 * simulation.rate);
        CHECK(simulation.refused > 0);
    }
    SECTION("while a large account sends five times its rate")
    {
        simulation.rate = 220'000;
        simulation.run(15s, 5 * simulation.rate);
    }
    SECTION("while half of the entries restart")
    {
        simulation.run(4s, 3 * simulation.rate);
        for (std::size_t i = 0; i < simulation.all.size(); i += 2)
            simulation.restart(i);
        simulation.run(12s, 3 * simulation.rate);
    }
    SECTION("while another node takes over with an empty ledger")
    {
        simulation.run(4s, 3 * simulation.rate);
        simulation.replace_leader();
        simulation.run(12s, 3 * simulation.rate);
    }
    SECTION("while a fifth of the entries cannot reach the leader")
    {
        for (std::size_t i = 0; i < simulation.all.size(); i += 5)
            simulation.all[i].disconnected = true;
        simulation.run(12s, 3 * simulation.rate);
    }
    SECTION("while all entries and the leader restart")
    {
        simulation.run(4s, 3 * simulation.rate);
        simulation.replace_leader();
        for (std::size_t i = 0; i < simulation.all.size(); ++i)
            simulation.restart(i);
        simulation.now += 1s;
        simulation.run(12s, 3 * simulation.rate);
    }
    CHECK(simulation.max_window_use() <= simulation.operators_bound());
}

TEST_CASE("entries that spend one remainder at the same time do not exceed the "
          "bound")
{
    const std::size_t entries = GENERATE(2, 4, 9, 27);
    const double times_the_rate = GENERATE(5, 10, 20);
    entries_simulation simulation(entries);
    simulation.rate = 220'000;
    simulation.run(10s, 0.5 * simulation.rate);
    CAPTURE(entries, times_the_rate);

    SECTION("when a calm account is suddenly hot")
    {
        simulation.run(15s, times_the_rate * simulation.rate);
    }
    SECTION("when a hot account pauses until its window is empty")
    {
        simulation.run(4s, times_the_rate * simulation.rate);
        simulation.now += 9s;
        simulation.run(12s, times_the_rate * simulation.rate);
    }
    SECTION("when the leader is lost after few entries used most of the limit")
    {
        for (int i = 0; i < 200; ++i)
        {
            simulation.offer_request(simulation.all[0], large_request);
            simulation.run(20ms, 0);
        }
        for (auto& entry : simulation.all)
            entry.disconnected = true;
        simulation.run(3s, times_the_rate * simulation.rate);
        simulation.replace_leader();
        for (auto& entry : simulation.all)
            entry.disconnected = false;
        simulation.run(12s, times_the_rate * simulation.rate);
    }
    CHECK(simulation.refused > 0);
    CHECK(simulation.max_window_use() <= simulation.operators_bound());
}

TEST_CASE("a limit that was used up just before all processes restart is not "
          "granted again")
{
    const std::size_t entries = GENERATE(2, 4, 9, 27);
    const double times_the_rate = GENERATE(5, 10, 20);
    const duration pause = GENERATE(0s, 9s);
    const duration down = GENERATE(200ms, 1s);
    entries_simulation simulation(entries);
    simulation.rate = GENERATE(29'000, 220'000);
    simulation.run(10s, 0.5 * simulation.rate);
    CAPTURE(simulation.rate, entries, times_the_rate, pause / 1s, down / 1ms);
    simulation.now += pause;
    simulation.run(2s, times_the_rate * simulation.rate);
    simulation.replace_leader();
    for (std::size_t i = 0; i < simulation.all.size(); ++i)
        simulation.restart(i);
    simulation.now += down;
    simulation.run(12s, times_the_rate * simulation.rate);
    CHECK(simulation.max_window_use() <= simulation.operators_bound());
}

TEST_CASE(
    "a loss of all processes does not shrink a limit that was little used")
{
    const std::size_t entries = GENERATE(4, 10);
    entries_simulation simulation(entries);
    simulation.rate = 220'000;
    simulation.run(20s, 0.35 * simulation.rate);
    const std::uint32_t refused_before = simulation.refused;
    simulation.replace_leader();
    for (std::size_t i = 0; i < simulation.all.size(); ++i)
        simulation.restart(i);
    simulation.now += 1s;
    const std::size_t admitted_before = simulation.admitted.size();
    simulation.run(10s, 0.35 * simulation.rate);
    CAPTURE(entries, refused_before);
    CHECK(
        simulation.refused - refused_before <=
        (simulation.admitted.size() - admitted_before) / 100);
    CHECK(simulation.max_window_use() <= simulation.operators_bound());

    SECTION("and ceilings change seldom")
    {
        const std::uint32_t rounds_before = simulation.rounds;
        simulation.run(60s, 0.35 * simulation.rate);
        CHECK(simulation.rounds - rounds_before <= 30);
    }
}

TEST_CASE("grants stay below a ceiling until a higher one is replicated")
{
    entries_simulation simulation(4);
    simulation.rate = 220'000;
    simulation.replication_time = 1h;
    simulation.run(5s, 5 * simulation.rate);
    simulation.now += 9s;
    const std::size_t first = simulation.admitted.size();
    simulation.run(5s, 5 * simulation.rate);
    double used = 0;
    for (std::size_t i = first; i < simulation.admitted.size(); ++i)
        used += simulation.admitted[i].second;
    const double ceiling =
        simulation.options.unrecorded_ceiling * simulation.total();
    CHECK(used > 0.9 * ceiling);
    CHECK(used <= ceiling);
}

TEST_CASE("lost counts end a window after the last entry's start, however late "
          "a leader comes")
{
    const std::size_t entries = GENERATE(4, 23);
    entries_simulation simulation(entries);
    simulation.rate = 220'000;
    simulation.run(10s, 0.5 * simulation.rate);
    simulation.run(4s, 5 * simulation.rate);
    const auto admitted_after = [&](duration span)
    {
        simulation.run(span, 5 * simulation.rate);
        double sum = 0;
        for (const auto& [at, amount] : simulation.admitted)
            if (at >= simulation.now - 700ms)
                sum += amount;
        return sum;
    };
    CAPTURE(entries);

    SECTION("a limit that was used up is granted again then")
    {
        for (std::size_t i = 0; i < entries; ++i)
            simulation.restart(i);
        simulation.now += 3s;
        simulation.replace_leader();
        CHECK(admitted_after(5s) < simulation.total() / 20);
        // Nearly all that is asked for in this time.
        CHECK(admitted_after(700ms) > simulation.total() / 3);
    }
    SECTION("but not while an entry ran on, since another may be cut off")
    {
        for (std::size_t i = 1; i < entries; ++i)
            simulation.restart(i);
        simulation.now += 3s;
        simulation.replace_leader();
        simulation.run(5s, 5 * simulation.rate);
        CHECK(admitted_after(700ms) < simulation.total() / 4);
    }
    simulation.run(10s, 5 * simulation.rate);
    CHECK(simulation.max_window_use() <= simulation.operators_bound());
}
