// The directory never gives work to an upstream that leaves or fell silent.
#include "membership/directory.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <algorithm>

using namespace bergamotusher;
using namespace bergamotusher::membership;

namespace
{

constexpr time_point start{1000s};
/// No new work later than this after an upstream left or fell silent.
constexpr duration leaving_limit = 2s;

upstream worker(std::uint64_t incarnation = 1)
{
    upstream value;
    value.id = {"w1"};
    value.incarnation = incarnation;
    value.service = {"llm"};
    value.version = {"v1"};
    value.address = "127.0.0.1:9000";
    value.domain = {"suva"};
    value.slots = 8;
    return value;
}

bool takes_work(const directory& dir, time_point now)
{
    const directory_entry* entry = find(dir, {"w1"});
    return entry && may_take_work(*entry, now);
}

} // namespace

TEST_CASE("an upstream announces itself and gets work")
{
    directory dir;
    REQUIRE(announce(dir, worker(), start) == announce_outcome::joined);
    CHECK(takes_work(dir, start));

    SECTION("it renews and goes on getting work")
    {
        CHECK(announce(dir, worker(), start + 1s) == announce_outcome::renewed);
        CHECK(takes_work(dir, start + 2s));
    }
    SECTION("it falls silent and gets none within two seconds")
    {
        CHECK_FALSE(takes_work(dir, start + leaving_limit));
        CHECK(expire(dir, start + leaving_limit).size() == 1);
        CHECK(expire(dir, start + leaving_limit).empty());
        SECTION("and gets work again when it is heard of again")
        {
            CHECK(
                announce(dir, worker(), start + 3s) ==
                announce_outcome::joined);
            CHECK(takes_work(dir, start + 3s));
        }
    }
    SECTION("it leaves, and a late announcement does not revive it")
    {
        REQUIRE(leave(dir, {"w1"}));
        CHECK_FALSE(takes_work(dir, start));
        CHECK(
            announce(dir, worker(), start + 100ms) ==
            announce_outcome::not_serving);
        CHECK_FALSE(takes_work(dir, start + 100ms));
        SECTION("but its next incarnation serves")
        {
            announce(dir, worker(2), start + 1s);
            CHECK(takes_work(dir, start + 1s));
            SECTION("and the old one's late words change nothing")
            {
                CHECK(
                    announce(dir, worker(1), start + 1s) ==
                    announce_outcome::outdated);
                CHECK_FALSE(leave(dir, {"w1"}, 1));
                CHECK(takes_work(dir, start + 1s));
            }
        }
    }
    SECTION("its instance is under notice")
    {
        notice(dir, upstream_id{"w1"}, start + 30s);
        CHECK_FALSE(takes_work(dir, start));
        SECTION("which holds for a process started on it anew")
        {
            announce(dir, worker(2), start + 1s);
            CHECK_FALSE(takes_work(dir, start + 1s));
        }
    }
    SECTION("its failure domain is under notice")
    {
        CHECK(notice(dir, failure_domain{"suva"}, start + 30s).size() == 1);
        CHECK_FALSE(takes_work(dir, start));
        SECTION("which is over once its deadline has passed")
        {
            expire(dir, start + 31s);
            announce(dir, worker(2), start + 31s);
            CHECK(takes_work(dir, start + 31s));
        }
    }
    SECTION("its process died")
    {
        REQUIRE(lost(dir, {"w1"}));
        announce(dir, worker(), start + 100ms);
        CHECK_FALSE(takes_work(dir, start + 100ms));
    }
}

TEST_CASE("a failure domain is gone when none of its upstreams is left")
{
    directory dir;
    upstream second = worker();
    second.id = {"w2"};
    announce(dir, worker(), start);
    announce(dir, second, start);
    lost(dir, {"w1"});
    CHECK_FALSE(domain_gone(dir, {"suva"}, start));
    lost(dir, {"w2"});
    CHECK(domain_gone(dir, {"suva"}, start));
}

TEST_CASE("no order of messages gives work to an upstream that has left")
{
    const bool holds = rc::check(
        []
        {
            directory dir;
            time_point now = start;
            std::uint64_t left = 0;
            time_point last_heard = start;
            for (int step = 0; step < 40; ++step)
            {
                now += *rc::gen::inRange(0, 900) * 1ms;
                const auto incarnation = *rc::gen::inRange<std::uint64_t>(1, 5);
                const directory_entry* entry = find(dir, {"w1"});
                const std::uint64_t known =
                    entry ? entry->value.incarnation : 0;
                switch (*rc::gen::inRange(0, 5))
                {
                case 0:
                    if (leave(dir, {"w1"}, incarnation))
                        left = std::max(left, incarnation);
                    break;
                case 1:
                    if (lost(dir, {"w1"}))
                        left = std::max(left, known);
                    break;
                default:
                    if (incarnation >= known)
                        last_heard = now;
                    announce(dir, worker(incarnation), now);
                }
                if (!takes_work(dir, now))
                    continue;
                RC_ASSERT(find(dir, {"w1"})->value.incarnation > left);
                RC_ASSERT(now < last_heard + leaving_limit);
            }
        });
    CHECK(holds);
}
