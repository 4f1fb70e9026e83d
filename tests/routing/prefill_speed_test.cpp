// Guards against a policy that is fitted to the engines of one deployment:
// renting planned 40 to 55 upstreams where 18 processed the load twice over,
// because it assumed 22 prompt tokens per millisecond of engines that reach
// 112.
#include "routing/prefill_speed.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <cmath>
#include <limits>
#include <random>

using namespace bergamotusher::routing;

namespace
{

constexpr double true_fixed_ms = 30;

/// First tokens of engines with a certain speed; every fifth is useless: the
/// prompt was cached, or another entry's prompts were ahead of it.
void observe(
    prefill_speed& speed, double true_speed, int samples, std::mt19937& random)
{
    const prefill_speed_options options;
    std::uniform_real_distribution<double> tokens(300, 12'000);
    std::normal_distribution<double> noise(0, 0.15);
    for (int i = 0; i < samples; ++i)
    {
        const double queued = tokens(random);
        double prefill_ms = queued / true_speed * std::exp(noise(random));
        if (i % 10 == 3)
            prefill_ms = 0;
        if (i % 10 == 7)
            prefill_ms *= 20;
        record_first_token(options, speed, queued, true_fixed_ms + prefill_ms);
    }
}

} // namespace

TEST_CASE("learns the prefill speed of any engine")
{
    CHECK(rc::check(
        "the estimate is within a quarter of the true speed",
        []
        {
            const double true_speed = *rc::gen::inRange(5, 500);
            std::mt19937 random(
                static_cast<std::uint32_t>(*rc::gen::inRange(1, 1'000)));
            prefill_speed speed;
            observe(speed, true_speed, 300, random);
            RC_ASSERT(speed.tokens_per_ms > true_speed * 0.75);
            RC_ASSERT(speed.tokens_per_ms < true_speed * 1.25);
        }));
}

TEST_CASE("an entry's estimate")
{
    const prefill_speed_options options;
    std::mt19937 random{3};
    prefill_speed speed;

    SECTION("starts from the setting")
    {
        CHECK(tokens_per_ms(options, speed) == options.initial_tokens_per_ms);
    }
    SECTION("tells the time without prefill from the time of prefill")
    {
        // Small prompts alone would seem to be processed at a fraction of the
        // speed.
        observe(speed, 100, 400, random);
        CHECK(speed.fixed_ms > 0.5 * true_fixed_ms);
        CHECK(speed.fixed_ms < 1.7 * true_fixed_ms);
        CHECK(
            first_token_ms(options, speed, 500) <
            1.5 * (true_fixed_ms + 500 / 100.0));
    }
    SECTION("ignores what is no observation")
    {
        record_first_token(options, speed, 0, 200);
        record_first_token(options, speed, 900, 0);
        CHECK(speed.samples == 0);
    }
    SECTION("moves by no more than a step for one absurd observation")
    {
        observe(speed, 40, 300, random);
        const double before = speed.tokens_per_ms;
        record_first_token(options, speed, 10'000, 1e9);
        CHECK(speed.tokens_per_ms > before * 0.93);
        record_first_token(options, speed, 1e12, 1e-9);
        CHECK(speed.tokens_per_ms < before * 1.07);
    }
    SECTION("follows engines that became slower")
    {
        observe(speed, 100, 300, random);
        observe(speed, 25, 300, random);
        CHECK(speed.tokens_per_ms < 32);
    }
    SECTION("gives way to the shared one after a restart")
    {
        const prefill_speed shared{112, 20, 500, 0, 0};
        adopt_shared_speed(options, speed, shared);
        CHECK(tokens_per_ms(options, speed) == 112);
        CHECK(speed.fixed_ms == 20);

        SECTION("but not once it rests on enough of its own observations")
        {
            observe(speed, 40, 300, random);
            adopt_shared_speed(options, speed, shared);
            CHECK(speed.tokens_per_ms < 50);
        }
    }
    SECTION("ignores a shared value that is none")
    {
        for (const double wrong :
             {std::numeric_limits<double>::quiet_NaN(),
              std::numeric_limits<double>::infinity(),
              0.0,
              -3.0})
            adopt_shared_speed(options, speed, {wrong, 10, 500, 0, 0});
        CHECK(speed.samples == 0);
    }
}

TEST_CASE("the median over entries")
{
    const prefill_speed_options options;

    SECTION("is unknown without observations")
    {
        CHECK(median_speed(options, {}).samples == 0);
        CHECK(median_speed(options, {{}, {}}).samples == 0);
    }
    SECTION("does not follow a single entry, however often it observed")
    {
        const auto median = median_speed(
            options,
            {{40, 9, 30, 0, 0}, {41, 8, 30, 0, 0}, {900, 1, 1e9, 0, 0}});
        CHECK(median.tokens_per_ms == 41);
        CHECK(median.fixed_ms == 8);
    }
    SECTION("ignores estimates that are not finite or out of bounds")
    {
        const double nan = std::numeric_limits<double>::quiet_NaN();
        const auto median = median_speed(
            options,
            {{nan, 1, 30, 0, 0},
             {1e9, 1, 30, 0, 0},
             {-1, 1, 30, 0, 0},
             {40, 1, nan, 0, 0},
             {40, -1, 30, 0, 0},
             {40, nan, 30, 0, 0},
             {38, 1, 5, 0, 0}});
        CHECK(median.tokens_per_ms == 38);
    }
}
