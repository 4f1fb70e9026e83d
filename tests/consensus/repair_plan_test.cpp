// Tests of single steps of the repair plan.
#include "consensus/membership.hpp"

#include <catch2/catch.hpp>

using namespace bergamotusher;
using namespace bergamotusher::consensus;

namespace
{

member_health member(const char* id, bool live, duration silent_for = {})
{
    return {
        .id = {id},
        .domain = {id},
        .voter = true,
        .live = live,
        .caught_up = live,
        .heard = silent_for < 3s,
        .silent_for = silent_for,
        .known_for = 1h};
}

} // namespace

// Guards against a returning member that takes the seat of one that is cut off,
// where the membership was stored by a version without seats.
TEST_CASE("a member with a new disk keeps its seat")
{
    const repair_goal goal{3, true};
    membership members{{{"a"}, {"b"}, {"c"}, {"d"}, {"e"}}, {}};
    members.seats = GENERATE(0, 5);
    CAPTURE(members.seats);
    std::vector<member_health> health{
        member("a", true),
        member("b", true),
        member("c", true),
        member("d", false, 5s),
        member("e", false)};
    health[4].unadmitted = true;
    const auto demoted = plan_repair(members, health, goal);
    REQUIRE(demoted);
    CHECK(is_learner(*demoted, {"e"}));
    CHECK(demoted->voters.size() == 4);
    CHECK(demoted->seats == 5);

    SECTION("and does not take that of a silent one when it is admitted")
    {
        health[4] = member("e", true);
        health[4].voter = false;
        const auto promoted = plan_repair(*demoted, health, goal);
        REQUIRE(promoted);
        CHECK(promoted->voters.size() == 5);
        CHECK(promoted->seats == 5);
        health[4].voter = true;
        CHECK_FALSE(plan_repair(*promoted, health, goal));
    }
}

TEST_CASE("a new member takes the seat of the voter that is silent for longest")
{
    const repair_goal goal{3, true};
    membership members{{{"a"}, {"b"}, {"c"}, {"d"}, {"e"}}, {{"f"}}};
    std::vector<member_health> health{
        member("a", true),
        member("b", false, 4s),
        member("c", true),
        member("d", false, 9s),
        member("e", true),
        member("f", true)};
    health[5].voter = false;
    const auto promoted = plan_repair(members, health, goal);
    REQUIRE(promoted);
    CHECK(promoted->voters.size() == 6);
    CHECK(promoted->seats == 5);
    health[5].voter = true;
    const auto demoted = plan_repair(*promoted, health, goal);
    REQUIRE(demoted);
    CHECK(is_learner(*demoted, {"d"}));

    SECTION("unless it returns before it is demoted")
    {
        health[1] = member("b", true);
        health[3] = member("d", true);
        const auto kept = plan_repair(*promoted, health, goal);
        REQUIRE(kept);
        CHECK(kept->voters.size() == 6);
        CHECK(kept->seats == 6);
    }
    SECTION("but not of one that has just fallen silent")
    {
        health[1] = member("b", true);
        health[3] = member("d", true, 1s);
        health[5].voter = false;
        health[5].known_for = 500ms;
        CHECK_FALSE(plan_repair(members, health, goal));
    }
}
