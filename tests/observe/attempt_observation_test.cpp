#include "observe/attempt_observation.hpp"

#include <catch2/catch.hpp>

using namespace bergamotusher;
using namespace bergamotusher::observe;

TEST_CASE("a successful attempt yields its latency, tokens and cost")
{
    attempt_observed attempt;
    attempt.key.service.value = "wax-llm";
    attempt.key.version.value = "v2";
    attempt.key.route = "chat";
    attempt.first_token = 400ms;
    attempt.mean_gap = 40ms;
    attempt.answered_tokens = 11;
    attempt.recomputed_tokens = 7;
    upstream target;
    target.price_per_hour = 36;
    target.slots = 8;

    const auto counted = make_request_observation(attempt, &target);
    REQUIRE(counted);
    CHECK(counted->work_class.value == "chat");
    CHECK(counted->version.value == "v2");
    CHECK(counted->total == duration(800ms));
    CHECK(counted->recomputed_tokens == 7);
    // The instance costs 0.01 units a second, one of its 8 slots an eighth of
    // that.
    CHECK(counted->cost == Approx(0.001));

    SECTION("has no cost if the upstream is no longer known")
    {
        CHECK(make_request_observation(attempt, nullptr)->cost == 0);
    }

    SECTION("yields no observation if it failed")
    {
        attempt.failure = attempt_failure::broken;
        CHECK_FALSE(make_request_observation(attempt, &target));
    }
}
