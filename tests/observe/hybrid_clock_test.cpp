#include "observe/hybrid_clock.hpp"
#include "observe/timeline.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <limits>
#include <map>
#include <vector>

using namespace bergamotusher;
using namespace bergamotusher::observe;

namespace
{

constexpr int process_count = 4;

/// One step of a random run: a process records a local event or receives a
/// message.
struct clock_step
{
    int process = 0;
    /// Index, modulo their number, of the earlier event whose timestamp is
    /// received, if `receives` is set.
    int message = 0;
    /// Whether to receive a message; if no event was recorded before, the step
    /// is a local event all the same.
    bool receives = false;
    /// Change of the process's wall clock before the step, in milliseconds.
    int clock_jump_ms = 0;
};

rc::Gen<clock_step> arbitrary_step()
{
    return rc::gen::build<clock_step>(
        rc::gen::set(&clock_step::process, rc::gen::inRange(0, process_count)),
        rc::gen::set(&clock_step::message, rc::gen::inRange(0, 1000)),
        rc::gen::set(&clock_step::receives),
        rc::gen::set(
            &clock_step::clock_jump_ms, rc::gen::inRange(-90'000, 90'000)));
}

/// An event and the events that directly caused it.
struct recorded_event
{
    event value;
    std::vector<std::size_t> causes;
};

std::vector<recorded_event> simulate(const std::vector<clock_step>& steps)
{
    std::vector<hybrid_clock> clocks(process_count);
    std::vector<std::int64_t> wall_clocks_ms(process_count, 1'000'000);
    std::map<int, std::size_t> newest;
    std::vector<recorded_event> recorded;
    for (const clock_step& current_step : steps)
    {
        const auto process = static_cast<std::size_t>(current_step.process);
        wall_clocks_ms[process] += current_step.clock_jump_ms;
        recorded_event current;
        current.value.node.value = std::to_string(current_step.process);
        if (newest.contains(current_step.process))
            current.causes.push_back(newest[current_step.process]);
        if (current_step.receives && !recorded.empty())
        {
            const auto sent = static_cast<std::size_t>(current_step.message);
            current.causes.push_back(sent % recorded.size());
            const hybrid_time remote =
                recorded[sent % recorded.size()].value.at;
            current.value.at =
                merge(clocks[process], remote, wall_clocks_ms[process]);
        }
        else
            current.value.at = next(clocks[process], wall_clocks_ms[process]);
        newest[current_step.process] = recorded.size();
        recorded.push_back(std::move(current));
    }
    return recorded;
}

} // namespace

TEST_CASE("an effect sorts after its cause, however the wall clocks jump")
{
    const bool property_holds = rc::check(
        []
        {
            const auto steps =
                *rc::gen::container<std::vector<clock_step>>(arbitrary_step());
            const auto recorded = simulate(steps);
            for (const recorded_event& effect : recorded)
                for (const std::size_t cause : effect.causes)
                    RC_ASSERT(
                        sorts_before(recorded[cause].value, effect.value));
        });
    CHECK(property_holds);
}

TEST_CASE("a hybrid clock follows wall time while it advances")
{
    hybrid_clock clock;
    CHECK(next(clock, 50) == hybrid_time{50, 0});
    CHECK(next(clock, 60) == hybrid_time{60, 0});

    SECTION("increments the logical part if wall time does not advance")
    {
        CHECK(next(clock, 60) == hybrid_time{60, 1});
        CHECK(next(clock, 10) == hybrid_time{60, 2});

        SECTION("resets it once wall time has caught up")
        {
            CHECK(next(clock, 61) == hybrid_time{61, 0});
        }
    }

    SECTION("advances to the timestamp of a peer that is ahead")
    {
        CHECK(merge(clock, {90, 4}, 61) == hybrid_time{90, 5});
        CHECK(merge(clock, {70, 9}, 62) == hybrid_time{90, 6});
    }

    SECTION("carries an overflow of the logical part into the wall part")
    {
        clock.last.logical = std::numeric_limits<std::uint32_t>::max();
        CHECK(next(clock, 60) == hybrid_time{61, 0});
    }
}

TEST_CASE("parses formatted hybrid times and rejects other text")
{
    CHECK(parse_hybrid_time(to_string({12, 3})) == hybrid_time{12, 3});
    CHECK(parse_hybrid_time("12") == hybrid_time{12, 0});
    for (const char* invalid_text :
         {"", "x", "12.", "12.x", ".3", "12.3.4", "1 2"})
        CHECK_FALSE(parse_hybrid_time(invalid_text));
}
