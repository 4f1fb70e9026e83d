// Losses beside which entries still use more of a limit than its bound; listed
// in KNOWN-RED.txt. A case that passes belongs in tests/admission.
#include "admission/limit_simulation.hpp"

#include <catch2/catch.hpp>

using namespace limit_simulation;

namespace
{

constexpr double times_the_rate = 20;

/// Entries whose account used all of its limit in the last moment.
entries_simulation simulate_used_limit(std::size_t entries)
{
    entries_simulation simulation(entries);
    simulation.rate = 220'000;
    simulation.run(10s, 0.5 * simulation.rate);
    simulation.now += 9s;
    simulation.run(2s, times_the_rate * simulation.rate);
    return simulation;
}

} // namespace

TEST_CASE("a second loss of all processes does not grant a limit again")
{
    const std::size_t entries = GENERATE(2, 4, 10);
    CAPTURE(entries);
    entries_simulation simulation = simulate_used_limit(entries);
    for (int loss = 0; loss < 2; ++loss)
    {
        simulation.replace_leader();
        for (std::size_t i = 0; i < entries; ++i)
            simulation.restart(i);
        simulation.now += 500ms;
        simulation.run(1500ms, times_the_rate * simulation.rate);
    }
    simulation.run(10s, times_the_rate * simulation.rate);
    CHECK(simulation.max_window_use() <= simulation.operators_bound());
}

TEST_CASE("an entry that starts again and again is not granted a limit again")
{
    const std::size_t entries = GENERATE(2, 4, 10);
    CAPTURE(entries);
    entries_simulation simulation = simulate_used_limit(entries);
    for (int start = 0; start < 6; ++start)
    {
        simulation.restart(0);
        simulation.run(1s, times_the_rate * simulation.rate);
    }
    simulation.run(10s, times_the_rate * simulation.rate);
    CHECK(simulation.max_window_use() <= simulation.operators_bound());
}

TEST_CASE("entries that are cut off for long keep to what is left of a limit")
{
    const std::size_t entries = GENERATE(2, 4, 10);
    CAPTURE(entries);
    entries_simulation simulation(entries);
    simulation.rate = 220'000;
    simulation.run(10s, 0.5 * simulation.rate);
    for (std::size_t i = 0; i < entries; i += 2)
        simulation.all[i].disconnected = true;
    simulation.run(20s, 5 * simulation.rate);
    CHECK(simulation.max_window_use() <= simulation.operators_bound());
}
