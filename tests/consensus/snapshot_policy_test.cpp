// Guards against snapshots that are due by a count alone: of large entries they
// came too late, of a large state too often.
#include "consensus/snapshot_policy.hpp"

#include <catch2/catch.hpp>

using namespace bergamotusher::consensus;

TEST_CASE("a snapshot is due by what a start would replay")
{
    const snapshot_policy policy;
    constexpr std::size_t kilobyte = 1024;
    constexpr std::size_t megabyte = 1024 * kilobyte;

    SECTION("after a few large entries")
    {
        CHECK_FALSE(is_snapshot_due(policy, {6, 900 * kilobyte, 0}));
        CHECK(is_snapshot_due(policy, {7, 1050 * kilobyte, 0}));
    }
    SECTION("after many small entries")
    {
        CHECK_FALSE(is_snapshot_due(policy, {999, 90 * kilobyte, 0}));
        CHECK(is_snapshot_due(policy, {1000, 90 * kilobyte, 0}));
    }
    SECTION("of a large state seldom, so that writing it costs little")
    {
        CHECK_FALSE(
            is_snapshot_due(policy, {1000, 300 * kilobyte, 20 * megabyte}));
        CHECK_FALSE(
            is_snapshot_due(policy, {900, 60 * megabyte, 20 * megabyte}));
        CHECK(is_snapshot_due(policy, {900, 80 * megabyte, 20 * megabyte}));
    }
}
