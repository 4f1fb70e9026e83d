#include "gateway/drain_schedule.hpp"

#include <catch2/catch.hpp>

using namespace bergamotusher;
using namespace bergamotusher::gateway;

TEST_CASE("open requests are answered before the process ends, and it ends "
          "before it is killed, however short the grace time")
{
    const duration grace = GENERATE(100ms, 500ms, 2s, 4s, 8s, 30s);
    const drain_schedule steps = schedule_drain(grace);
    CHECK(steps.accepting > 0s);
    CHECK(steps.accepting < steps.answering);
    CHECK(steps.answering < steps.ending);
    CHECK(steps.ending < grace);
}

TEST_CASE("a stop ends no stream sooner than shortly before the process would "
          "be killed")
{
    CHECK(schedule_drain(8s).ending == 7700ms);
    CHECK(schedule_drain(8s).answering == 7500ms);
    CHECK(schedule_drain(500ms).ending >= 400ms);
}
