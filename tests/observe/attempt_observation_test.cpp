#include "observe/attempt_observation.hpp"

#include <catch2/catch.hpp>

using namespace bergamotusher;
using namespace bergamotusher::observe;

TEST_CASE("a served attempt is counted with its time and its cost")
{
    attempt_observed seen;
    seen.key.service.value = "wax-llm";
    seen.key.version.value = "v2";
    seen.key.route = "chat";
    seen.first_token = 400ms;
    seen.mean_gap = 40ms;
    seen.answered_tokens = 11;
    seen.recomputed_tokens = 7;
    upstream target;
    target.price_per_hour = 36;
    target.slots = 8;

    const auto counted = request_of(seen, &target);
    REQUIRE(counted);
    CHECK(counted->work_class.value == "chat");
    CHECK(counted->version.value == "v2");
    CHECK(counted->total == duration(800ms));
    CHECK(counted->recomputed_tokens == 7);
    // 0.01 units a second for the instance, an eighth of it for the slot.
    CHECK(counted->cost == Approx(0.001));

    SECTION("without cost when its upstream is forgotten")
    {
        CHECK(request_of(seen, nullptr)->cost == 0);
    }

    SECTION("but not when it failed")
    {
        seen.failure = attempt_failure::broken;
        CHECK_FALSE(request_of(seen, &target));
    }
}
