// A move of twelve seconds: a small share first, a verdict before the deadline.
#include "site/move_policy.hpp"

#include <catch2/catch.hpp>

#include <cmath>

using namespace bergamotusher;
using namespace bergamotusher::site;

namespace
{

version_move twelve_seconds()
{
    return {{"llm"}, {"v2"}, move_state::active, 0, 12'000, 1, 0, {}};
}

version_evidence healthy(std::uint64_t answers)
{
    version_evidence each;
    each.route = "chat";
    each.old_good = 10 * answers;
    each.old_timed = 10 * answers;
    each.old_log_sum = static_cast<double>(each.old_timed) * std::log(100.0);
    each.new_good = answers;
    each.new_timed = answers;
    each.new_log_sum = static_cast<double>(answers) * std::log(110.0);
    return each;
}

} // namespace

TEST_CASE("a good version is given more and more, and completed in time")
{
    const move_options options;
    version_move move = twelve_seconds();
    std::uint32_t last = 0;
    for (std::int64_t now = 0; now < 12'000; now += 250)
    {
        move = advance(
            options,
            move,
            {healthy(static_cast<std::uint64_t>(now / 100))},
            now);
        CHECK(move.share >= last);
        last = move.share;
        if (now < 4'000)
            CHECK(move.share <= 100);
        if (move.state != move_state::active)
            break;
    }
    CHECK(move.state == move_state::completed);
}

TEST_CASE("a bad version is taken back on the first evidence")
{
    const move_options options;
    const version_move move =
        advance(options, twelve_seconds(), {healthy(4)}, 1'000);
    REQUIRE(move.share == options.first_share);

    SECTION("it fails")
    {
        version_evidence each = healthy(10);
        each.new_bad = 5;
        const auto next = advance(options, move, {each}, 2'000);
        CHECK(next.state == move_state::reverted);
        CHECK(next.share == 0);
        CHECK(next.reason == "failures on route chat");
    }
    SECTION("it is several times slower on one route")
    {
        version_evidence slow = healthy(6);
        slow.new_log_sum = 6 * std::log(400.0);
        slow.route = "dossier";
        const auto next = advance(options, move, {healthy(50), slow}, 2'000);
        CHECK(next.state == move_state::reverted);
        CHECK(next.reason == "slow on route dossier");
    }
    SECTION("failures that the old version has too are no evidence")
    {
        version_evidence each = healthy(20);
        each.old_bad = 100;
        each.new_bad = 8;
        CHECK(
            advance(options, move, {each}, 2'000).state == move_state::active);
    }
}

TEST_CASE("a version that answered nothing is not given everything")
{
    const move_options options;
    version_move move = twelve_seconds();
    for (std::int64_t now = 0; now < 12'000; now += 250)
    {
        move = advance(options, move, {}, now);
        CHECK(move.share <= options.first_share);
    }
    CHECK(move.state == move_state::reverted);
}
