// An upstream that is leaving or does not renew its announcement must not get
// new work, whatever the order of the messages.
#include "membership/directory.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <algorithm>

using namespace bergamotusher;
using namespace bergamotusher::membership;

namespace
{

constexpr time_point start{1000s};
/// Maximum time after its last announcement in which an upstream still gets new
/// work.
constexpr duration max_assignment_delay = 2s;

upstream make_upstream(std::uint64_t incarnation = 1)
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
    return entry && accepts_new_work(*entry, now);
}

} // namespace

TEST_CASE("an upstream gets work after its announcement")
{
    directory dir;
    REQUIRE(announce(dir, make_upstream(), start) == announce_outcome::joined);
    CHECK(takes_work(dir, start));

    SECTION("a renewal extends the lease")
    {
        CHECK(
            announce(dir, make_upstream(), start + 1s) ==
            announce_outcome::renewed);
        CHECK(takes_work(dir, start + 2s));
    }
    SECTION("without a renewal the lease expires within two seconds")
    {
        CHECK_FALSE(takes_work(dir, start + max_assignment_delay));
        CHECK(expire(dir, start + max_assignment_delay).size() == 1);
        CHECK(expire(dir, start + max_assignment_delay).empty());
        SECTION("and a later announcement makes it serve again")
        {
            CHECK(
                announce(dir, make_upstream(), start + 3s) ==
                announce_outcome::joined);
            CHECK(takes_work(dir, start + 3s));
        }
    }
    SECTION("a late announcement does not make a leaving upstream serve again")
    {
        REQUIRE(mark_leaving(dir, {"w1"}));
        CHECK_FALSE(takes_work(dir, start));
        CHECK(
            announce(dir, make_upstream(), start + 100ms) ==
            announce_outcome::not_serving);
        CHECK_FALSE(takes_work(dir, start + 100ms));
        SECTION("but its next incarnation serves")
        {
            announce(dir, make_upstream(2), start + 1s);
            CHECK(takes_work(dir, start + 1s));
            SECTION("and late messages of the old incarnation change nothing")
            {
                CHECK(
                    announce(dir, make_upstream(1), start + 1s) ==
                    announce_outcome::outdated);
                CHECK_FALSE(mark_leaving(dir, {"w1"}, 1));
                CHECK(takes_work(dir, start + 1s));
            }
        }
    }
    SECTION("a reclaim notice for its instance stops new work")
    {
        add_reclaim_notice(dir, upstream_id{"w1"}, start + 30s);
        CHECK_FALSE(takes_work(dir, start));
        SECTION("and applies to a process that starts on the instance later")
        {
            announce(dir, make_upstream(2), start + 1s);
            CHECK_FALSE(takes_work(dir, start + 1s));
        }
    }
    SECTION("a reclaim notice for its failure domain stops new work")
    {
        CHECK(
            add_reclaim_notice(dir, failure_domain{"suva"}, start + 30s)
                .size() == 1);
        CHECK_FALSE(takes_work(dir, start));
        SECTION("and no longer applies after its deadline")
        {
            expire(dir, start + 31s);
            announce(dir, make_upstream(2), start + 31s);
            CHECK(takes_work(dir, start + 31s));
        }
    }
    SECTION("an upstream whose process died does not get work")
    {
        REQUIRE(mark_lost(dir, {"w1"}));
        announce(dir, make_upstream(), start + 100ms);
        CHECK_FALSE(takes_work(dir, start + 100ms));
    }
}

TEST_CASE("a failure domain is gone when all of its upstreams are lost")
{
    directory dir;
    upstream second = make_upstream();
    second.id = {"w2"};
    announce(dir, make_upstream(), start);
    announce(dir, second, start);
    mark_lost(dir, {"w1"});
    CHECK_FALSE(is_domain_lost(dir, {"suva"}, start));
    mark_lost(dir, {"w2"});
    CHECK(is_domain_lost(dir, {"suva"}, start));
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
                    if (mark_leaving(dir, {"w1"}, incarnation))
                        left = std::max(left, incarnation);
                    break;
                case 1:
                    if (mark_lost(dir, {"w1"}))
                        left = std::max(left, known);
                    break;
                default:
                    if (incarnation >= known)
                        last_heard = now;
                    announce(dir, make_upstream(incarnation), now);
                }
                if (!takes_work(dir, now))
                    continue;
                RC_ASSERT(find(dir, {"w1"})->value.incarnation > left);
                RC_ASSERT(now < last_heard + max_assignment_delay);
            }
        });
    CHECK(holds);
}
