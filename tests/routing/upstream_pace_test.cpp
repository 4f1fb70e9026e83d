// What an entry knows of an upstream's load and pace between two answers.
#include "routing/upstream_pace.hpp"

#include <catch2/catch.hpp>

#include <cmath>
#include <limits>

using namespace bergamotusher;
using namespace bergamotusher::routing;

namespace
{

constexpr time_point start{1000s};
const upstream_pace_options options;

} // namespace

TEST_CASE("a reported load counts for as long as it takes to drain")
{
    upstream_pace pace;
    record_work(options, pace, 30, 0, 6);
    record_load(options, pace, 1, start);
    record_load(options, pace, 12, start + 10ms);
    CHECK(others_at(options, pace, 6, start + 10ms) == Approx(12));
    // The mean of reports never says that an upstream is full.
    CHECK(others_at(options, pace, 6, start + 1s) <= 4);
    CHECK(others_at(options, pace, 6, start + 1s) > 1);
    CHECK(others_at(options, pace, 6, start + 5s) == 0);
}

TEST_CASE("the time of work is learned apart from the wait behind others")
{
    upstream_pace pace;
    for (int i = 0; i < 50; ++i)
        record_work(
            options, pace, i % 2 == 0 ? 30 : 60, i % 2 == 0 ? 0 : 11, 6);
    CHECK(pace.work_ms == Approx(30));
    CHECK(answer_ms(options, pace, 11, 6, start) == Approx(60));
    record_work(options, pace, std::numeric_limits<double>::quiet_NaN(), 0, 6);
    record_work(options, pace, -1, 0, 6);
    CHECK(pace.work_ms == Approx(30));
}

TEST_CASE("a stated pace holds for a short time")
{
    upstream_pace pace;
    record_work(options, pace, 30, 0, 6);
    record_stated_pace(options, pace, 100, start);
    record_stated_pace(options, pace, 300, start + 10ms);
    CHECK(pace_at(options, pace, start + 10ms) == Approx(3));
    CHECK(pace_at(options, pace, start + 2s) == Approx(1.25));
    CHECK(answer_ms(options, pace, 0, 6, start + 10ms) > 60);
    CHECK(answer_ms(options, pace, 0, 6, start + 2s) == Approx(30).margin(1));

    SECTION("and an absurd one is not believed")
    {
        for (const double percent : {0.0, 1.0, 4e9, -5.0})
            record_stated_pace(options, pace, percent, start + 20ms);
        CHECK(pace.stated_pace == 3);
    }
}
