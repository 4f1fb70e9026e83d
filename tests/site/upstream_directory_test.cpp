// Guards against nodes with different directories: announcements arrive late,
// twice, out of order, and from incarnations that have ended.
#include "site/upstream_directory.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <algorithm>

using namespace bergamotusher;
using namespace bergamotusher::site;

namespace
{

constexpr time_point start{1000s};

upstream announcement(
    const std::string& id,
    std::int64_t started_ms,
    std::uint64_t sequence,
    upstream_state state = upstream_state::ready)
{
    upstream value;
    value.id = {id};
    value.service = {"llm"};
    value.address = "10.0.0.1:80";
    value.domain = {"north"};
    value.version = {"v1"};
    value.started_ms = started_ms;
    value.sequence = sequence;
    value.state = state;
    return value;
}

} // namespace

TEST_CASE("keeps the newest announcement of an upstream")
{
    upstream_directory directory;
    REQUIRE(
        merge(directory, announcement("a", 10, 1), start) ==
        merge_outcome::changed);

    SECTION("an announcement without changes only refreshes the upstream")
    {
        CHECK(
            merge(directory, announcement("a", 10, 2), start + 1s) ==
            merge_outcome::refreshed);
        CHECK(directory.upstreams.at({"a"}).heard_at == start + 1s);
    }
    SECTION("ignores a late announcement")
    {
        merge(directory, announcement("a", 10, 5), start);
        CHECK(
            merge(
                directory,
                announcement("a", 10, 4, upstream_state::draining),
                start) == merge_outcome::stale);
    }
    SECTION("a new incarnation replaces the old one whatever its sequence")
    {
        merge(directory, announcement("a", 10, 900), start);
        CHECK(
            merge(directory, announcement("a", 20, 1), start) ==
            merge_outcome::changed);
        CHECK(
            merge(directory, announcement("a", 10, 901), start) ==
            merge_outcome::stale);
    }
    SECTION("an upstream that is gone stays gone until it restarts")
    {
        REQUIRE(mark_gone(directory, {"a"}, 0, 0, start));
        CHECK(
            merge(directory, announcement("a", 10, 9), start) ==
            merge_outcome::stale);
        CHECK(
            merge(directory, announcement("a", 11, 1), start) ==
            merge_outcome::changed);
    }
    SECTION("ignores a departure notice of an earlier incarnation")
    {
        merge(directory, announcement("a", 20, 1), start);
        CHECK_FALSE(mark_gone(directory, {"a"}, 10, 99, start));
    }
    SECTION(
        "reports an upstream without announcements as silent, then removes it")
    {
        CHECK(find_silent(directory, 5s, start + 4s).empty());
        CHECK(find_silent(directory, 5s, start + 6s).size() == 1);
        remove_expired(directory, 30s, start + 30s);
        CHECK(directory.upstreams.empty());
        CHECK(directory.digest == 0);
    }
}

TEST_CASE("sends a missed drain again in reply to the entry's next report")
{
    upstream_directory directory;
    merge(directory, announcement("a", 10, 1), start);
    merge(directory, announcement("b", 10, 1), start);
    const std::uint64_t before = directory.digest;
    time_point full_sent_at = start + 100s;
    const time_point now = start + 100s + 300ms;
    // The message about the drain was lost, and a full directory had been sent
    // just before.
    merge(directory, announcement("a", 10, 2, upstream_state::draining), now);
    const auto updates =
        updates_for(directory, before, full_sent_at, now + 400ms);
    REQUIRE(updates.size() == 1);
    CHECK(updates[0].id.value == "a");
    CHECK(updates[0].state == upstream_state::draining);

    SECTION("sends the full directory once the interval has passed")
    {
        CHECK(
            updates_for(directory, before, full_sent_at, now + 3s).size() == 2);
        CHECK(full_sent_at == now + 3s);
    }
    SECTION("sends nothing once the directories are equal")
    {
        CHECK(updates_for(directory, directory.digest, full_sent_at, now)
                  .empty());
    }
}

TEST_CASE("merging announcements in any order gives the same directory")
{
    CHECK(rc::check(
        "merge is commutative",
        []
        {
            std::vector<upstream> announcements;
            announcements.reserve(12);
            const auto count = *rc::gen::inRange(1, 12);
            for (int i = 0; i < count; ++i)
                announcements.push_back(announcement(
                    *rc::gen::element<std::string>("a", "b"),
                    *rc::gen::inRange(1, 4),
                    static_cast<std::uint64_t>(*rc::gen::inRange(1, 5)),
                    *rc::gen::element(
                        upstream_state::ready, upstream_state::draining)));
            // An incarnation uses each sequence number for one announcement
            // only.
            for (const upstream& a : announcements)
                for (const upstream& b : announcements)
                    RC_PRE(
                        a.id != b.id || a.started_ms != b.started_ms ||
                        a.sequence != b.sequence || a.state == b.state);
            upstream_directory forward;
            upstream_directory backward;
            for (const upstream& each : announcements)
                merge(forward, each, start);
            std::reverse(announcements.begin(), announcements.end());
            for (const upstream& each : announcements)
                merge(backward, each, start);
            RC_ASSERT(forward.digest == backward.digest);
        }));
}
