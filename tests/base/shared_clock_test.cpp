// One wall clock that jumps must not change the estimate of the true time.
#include "base/shared_clock.hpp"

#include <catch2/catch.hpp>

using namespace bergamotusher;

TEST_CASE("a clock that jumps does not change the true time")
{
    constexpr time_point now{1000s};
    constexpr std::int64_t truth = 1'700'000'000'000;
    shared_clock clock;
    for (const char* node : {"a", "b", "c"})
        record_clock_sample(clock, {node}, {truth + 3}, now);

    SECTION("when this node's own clock jumps")
    {
        CHECK(true_time_ms(clock, {truth - 2'400}, now) == truth + 3);
    }
    SECTION("when the clock of another node jumps")
    {
        record_clock_sample(clock, {"b"}, {truth + 60'000}, now);
        CHECK(
            std::abs(true_time_ms(clock, {truth}, now + 1s) - truth - 1'000) <
            1'100);
    }
    SECTION("old samples are ignored")
    {
        CHECK(
            true_time_ms(clock, {truth + 99'000}, now + 9s) == truth + 99'000);
    }
}
