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

/// One thing that happens in a random run.
struct step
{
    int actor = 0;
    /// The message to receive, if any was sent; otherwise a local event.
    int message = 0;
    bool receives = false;
    /// How far the actor's clock jumps, either way, in milliseconds.
    int jump = 0;
};

rc::Gen<step> any_step()
{
    return rc::gen::build<step>(
        rc::gen::set(&step::actor, rc::gen::inRange(0, process_count)),
        rc::gen::set(&step::message, rc::gen::inRange(0, 1000)),
        rc::gen::set(&step::receives),
        rc::gen::set(&step::jump, rc::gen::inRange(-90'000, 90'000)));
}

/// An event and the events that directly caused it.
struct observed
{
    event value;
    std::vector<std::size_t> causes;
};

std::vector<observed> run(const std::vector<step>& steps)
{
    std::vector<hybrid_clock> clocks(process_count);
    std::vector<std::int64_t> walls(process_count, 1'000'000);
    std::map<int, std::size_t> newest;
    std::vector<observed> all;
    for (const step& each : steps)
    {
        const auto actor = static_cast<std::size_t>(each.actor);
        walls[actor] += each.jump;
        observed seen;
        seen.value.node.value = std::to_string(each.actor);
        if (newest.contains(each.actor))
            seen.causes.push_back(newest[each.actor]);
        if (each.receives && !all.empty())
        {
            const auto sent = static_cast<std::size_t>(each.message);
            seen.causes.push_back(sent % all.size());
            const hybrid_time remote = all[sent % all.size()].value.at;
            seen.value.at = merge(clocks[actor], remote, walls[actor]);
        }
        else
            seen.value.at = next(clocks[actor], walls[actor]);
        newest[each.actor] = all.size();
        all.push_back(std::move(seen));
    }
    return all;
}

} // namespace

TEST_CASE("an effect never sorts before its cause, whatever the clocks do")
{
    const bool held = rc::check(
        []
        {
            const auto steps =
                *rc::gen::container<std::vector<step>>(any_step());
            const auto all = run(steps);
            for (const observed& effect : all)
                for (const std::size_t cause : effect.causes)
                    RC_ASSERT(sorts_before(all[cause].value, effect.value));
        });
    CHECK(held);
}

TEST_CASE("a hybrid clock stays at wall time where it can")
{
    hybrid_clock clock;
    CHECK(next(clock, 50) == hybrid_time{50, 0});
    CHECK(next(clock, 60) == hybrid_time{60, 0});

    SECTION("within a millisecond, and when time goes back, it counts")
    {
        CHECK(next(clock, 60) == hybrid_time{60, 1});
        CHECK(next(clock, 10) == hybrid_time{60, 2});

        SECTION("until wall time has caught up")
        {
            CHECK(next(clock, 61) == hybrid_time{61, 0});
        }
    }

    SECTION("a peer that is ahead pulls it forward")
    {
        CHECK(merge(clock, {90, 4}, 61) == hybrid_time{90, 5});
        CHECK(merge(clock, {70, 9}, 62) == hybrid_time{90, 6});
    }

    SECTION("a full logical part goes over into the wall part")
    {
        clock.last.logical = std::numeric_limits<std::uint32_t>::max();
        CHECK(next(clock, 60) == hybrid_time{61, 0});
    }
}

TEST_CASE("hybrid times are read as they are written")
{
    CHECK(parse_hybrid_time(to_string({12, 3})) == hybrid_time{12, 3});
    CHECK(parse_hybrid_time("12") == hybrid_time{12, 0});
    for (const char* wrong : {"", "x", "12.", "12.x", ".3", "12.3.4", "1 2"})
        CHECK_FALSE(parse_hybrid_time(wrong));
}
