#include "gateway/answer_time.hpp"

#include <catch2/catch.hpp>

using namespace bergamotusher;
using namespace bergamotusher::gateway;

TEST_CASE("a request is not sent late in a stop if its answer would come after "
          "the end")
{
    CHECK(is_likely_to_end(300ms, 4s, 1s));
    CHECK_FALSE(is_likely_to_end(2s, 4s, 1s));
    // It is answered at its own deadline.
    CHECK(is_likely_to_end(2s, 800ms, 1s));
    CHECK_FALSE(is_likely_to_end(20ms, 4s, -1ms));
}

TEST_CASE("the time of an answer is estimated from earlier answers")
{
    answer_times times;
    CHECK(long_answer_time(times, 300ms) == 300ms);
    for (int i = 0; i < 100; ++i)
        record_answer_time(times, 2s);
    CHECK(long_answer_time(times, 300ms) >= 1990ms);
    CHECK(long_answer_time(times, 300ms) < 2100ms);
    // Times that vary more leave more room.
    for (int i = 0; i < 100; ++i)
        record_answer_time(times, i % 2 == 0 ? 1s : 3s);
    CHECK(long_answer_time(times, 300ms) > 3s);
    for (int i = 0; i < 100; ++i)
        record_answer_time(times, 100ms);
    CHECK(long_answer_time(times, 300ms) < 150ms);
}
