// Guards against an entry that goes on by a limit that the upstream no longer
// names, or that an earlier process at its address named.
#include "site/stated_limits.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace bergamotusher;
using namespace bergamotusher::site;

namespace
{

stated_limit
limit(std::optional<double> rate, std::int64_t read_at_ms, int started_ms = 1)
{
    return {{"u1"}, started_ms, rate, read_at_ms};
}

} // namespace

TEST_CASE("the newest statement on an upstream's limit is in force")
{
    limit_board board;
    CHECK(merge(board, limit(1.5, 100)));
    CHECK(limit_of(board, {"u1"}, 1) == 1.5);
    CHECK_FALSE(limit_of(board, {"u2"}, 1));
    const std::uint64_t digest = board.digest;
    CHECK(digest != 0);

    SECTION("the same limit again changes nothing")
    {
        CHECK_FALSE(merge(board, limit(1.5, 200)));
        CHECK(board.digest == digest);
    }
    SECTION("an older statement that arrives late is ignored")
    {
        CHECK_FALSE(merge(board, limit(9.0, 50)));
        CHECK_FALSE(merge(board, limit(std::nullopt, 50)));
        CHECK(limit_of(board, {"u1"}, 1) == 1.5);
    }
    SECTION("of two statements of one moment the lower limit holds")
    {
        CHECK_FALSE(merge(board, limit(2.0, 100)));
        CHECK_FALSE(merge(board, limit(std::nullopt, 100)));
        CHECK(merge(board, limit(0.5, 100)));
    }
    SECTION("an answer without a limit ends it")
    {
        CHECK(merge(board, limit(std::nullopt, 200)));
        CHECK_FALSE(limit_of(board, {"u1"}, 1));
        CHECK(board.digest == 0);

        SECTION("and a statement from before does not bring it back")
        {
            CHECK_FALSE(merge(board, limit(1.5, 150)));
            CHECK_FALSE(limit_of(board, {"u1"}, 1));
        }
        SECTION("until it is named again")
        {
            CHECK(merge(board, limit(1.5, 300)));
        }
    }
    SECTION("another incarnation of the upstream begins without one")
    {
        CHECK_FALSE(limit_of(board, {"u1"}, 2));
        CHECK(merge(board, limit(4.0, 90, 2)));
        CHECK_FALSE(limit_of(board, {"u1"}, 1));
        CHECK_FALSE(merge(board, limit(1.5, 999)));
        CHECK(limit_of(board, {"u1"}, 2) == 4.0);
    }
    SECTION("it is dropped some time after its upstream")
    {
        upstream_directory directory;
        upstream value;
        value.id = {"u1"};
        value.started_ms = 1;
        value.sequence = 1;
        merge(directory, value, time_point{1s});
        drop_obsolete(board, directory, 200);
        CHECK(limit_of(board, {"u1"}, 1) == 1.5);

        SECTION("that is gone, though its record is kept")
        {
            value.state = upstream_state::gone;
            value.sequence = 2;
            merge(directory, value, time_point{2s});
            drop_obsolete(board, directory, 50);
            CHECK(board.limits.size() == 1);
            drop_obsolete(board, directory, 200);
            CHECK(board.limits.empty());
            CHECK(board.digest == 0);
        }
        SECTION("or has started again")
        {
            value.started_ms = 2;
            merge(directory, value, time_point{2s});
            drop_obsolete(board, directory, 200);
            CHECK(board.limits.empty());
        }
    }
}

TEST_CASE("nodes that heard the same statements in any order agree on limits")
{
    rc::check(
        []
        {
            const auto count = *rc::gen::inRange(1, 12);
            std::vector<stated_limit> all;
            for (int i = 0; i < count; ++i)
            {
                stated_limit each = limit(
                    *rc::gen::inRange(0, 3) / 2.0,
                    *rc::gen::inRange(0, 4),
                    *rc::gen::inRange(1, 3));
                each.upstream = {"u" + std::to_string(*rc::gen::inRange(0, 3))};
                if (*rc::gen::inRange(0, 4) == 0)
                    each.requests_per_s.reset();
                all.push_back(each);
            }
            limit_board first;
            for (const stated_limit& each : all)
                merge(first, each);
            limit_board second;
            std::reverse(all.begin(), all.end());
            for (const stated_limit& each : all)
                merge(second, each);
            RC_ASSERT(first.digest == second.digest);
        });
}
