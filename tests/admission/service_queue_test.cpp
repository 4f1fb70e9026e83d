#include "admission/service_queue.hpp"

#include <catch2/catch.hpp>

using namespace bergamotusher::admission;

TEST_CASE("an account's rank takes precedence over its route's")
{
    CHECK(rank_of(2, 0) == 2);
    CHECK(rank_of(0, 3) == 0);
    CHECK(rank_of(std::nullopt, 3) == 3);
}
