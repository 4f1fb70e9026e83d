// Guards against nodes with different directories: announcements arrive late,
// twice, out of order, and from incarnations that have ended.
#include "site/sample_site.hpp"
#include "site/upstream_directory.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <algorithm>

using namespace bergamotusher;
using namespace bergamotusher::site;
using sample::announcement;

namespace
{

constexpr time_point start{1000s};

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

TEST_CASE("nodes agree although they forget upstreams at different times")
{
    upstream_directory control;
    upstream_directory entry;
    for (const char* id : {"a", "b"})
    {
        merge(control, announcement(id, 10, 1), start);
        merge(entry, announcement(id, 10, 1), start);
    }
    REQUIRE(control.digest == entry.digest);

    SECTION("an upstream that is gone does not count")
    {
        mark_gone(control, {"a"}, 0, 0, start + 1s);
        CHECK(control.digest != entry.digest);
        mark_gone(entry, {"a"}, 0, 0, start + 1s);
        REQUIRE(control.digest == entry.digest);
        // The control node forgets it earlier than the entry.
        merge(control, announcement("b", 10, 2), start + 40s);
        merge(entry, announcement("b", 10, 2), start + 40s);
        remove_expired(control, 30s, start + 40s);
        CHECK(control.upstreams.size() == 1);
        CHECK(entry.upstreams.size() == 2);
        CHECK(control.digest == entry.digest);
    }
    SECTION("a change of domain, slots or market counts")
    {
        upstream changed = announcement("a", 10, 2);
        SECTION("domain")
        {
            changed.domain = {"south"};
        }
        SECTION("slots")
        {
            changed.slots = 7;
        }
        SECTION("market")
        {
            changed.reclaimable = true;
        }
        merge(control, changed, start + 1s);
        CHECK(control.digest != entry.digest);
    }
    SECTION("upstreams that a control node confirms are kept for hours")
    {
        for (duration passed = 0s; passed < 1h; passed += 1s)
        {
            confirm_all(entry, start + passed);
            remove_expired(entry, 60s, start + passed);
        }
        CHECK(entry.upstreams.size() == 2);
    }
    SECTION("an upstream that the leader no longer lists is removed")
    {
        remove_unlisted(entry, {{"a"}}, 5s, start + 4s);
        CHECK(entry.upstreams.size() == 2);
        remove_unlisted(entry, {{"a"}}, 5s, start + 6s);
        CHECK(entry.upstreams.count({"a"}) == 1);
        CHECK(entry.upstreams.count({"b"}) == 0);
    }
}

TEST_CASE("a crashed upstream is not kept alive by nodes that tell each other")
{
    upstream_directory first;
    upstream_directory second;
    merge(first, announcement("a", 10, 1), start);
    merge(second, announcement("a", 10, 1), start + 1s);
    // Each second both nodes remove what expired and exchange the rest.
    for (time_point now = start; now < start + 40s; now += 1s)
    {
        remove_expired(first, 30s, now);
        remove_expired(second, 30s, now + 500ms);
        for (auto [from, to] :
             {std::pair{&first, &second}, std::pair{&second, &first}})
            for (const auto& [id, each] : upstream_directory(*from).upstreams)
                merge(*to, each.value, now, now - each.heard_at);
    }
    CHECK(first.upstreams.empty());
    CHECK(second.upstreams.empty());
}

TEST_CASE("an address belongs to the upstream that started last")
{
    // Upstreams that crash say nothing, and their address is given to others
    // within seconds. Entries went on sending to the old id and got 421.
    upstream_directory directory;
    merge(directory, announcement("old", 10, 1), start);
    upstream other = announcement("far", 10, 1);
    other.address = "10.0.0.2:80";
    merge(directory, other, start);

    SECTION("a later start at the same address ends the earlier upstream")
    {
        merge(directory, announcement("new", 20, 1), start + 1s);
        CHECK(
            directory.upstreams.at({"old"}).value.state ==
            upstream_state::gone);
        CHECK(
            directory.upstreams.at({"new"}).value.state ==
            upstream_state::ready);
        CHECK(
            directory.upstreams.at({"far"}).value.state ==
            upstream_state::ready);

        SECTION("and a late announcement does not bring it back")
        {
            merge(directory, announcement("old", 10, 7), start + 2s);
            CHECK(
                directory.upstreams.at({"old"}).value.state ==
                upstream_state::gone);
        }
    }
    SECTION("an earlier upstream that is first heard of later is gone")
    {
        merge(directory, announcement("earlier", 5, 9), start + 1s);
        CHECK(
            directory.upstreams.at({"earlier"}).value.state ==
            upstream_state::gone);
        CHECK(
            directory.upstreams.at({"old"}).value.state ==
            upstream_state::ready);
    }
    SECTION("the order of the announcements does not matter")
    {
        upstream_directory reversed;
        merge(reversed, announcement("new", 20, 1), start);
        merge(reversed, other, start);
        merge(reversed, announcement("old", 10, 1), start);
        merge(directory, announcement("new", 20, 1), start + 1s);
        CHECK(reversed.digest == directory.digest);
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

// Guards against departures that cancel in the digest, so that an entry that
// missed them is not told again, or does not act on them.
TEST_CASE("upstreams that change alike do not cancel in the digest")
{
    upstream_directory directory;
    for (int i = 0; i < 16; ++i)
        merge(directory, announcement("u" + std::to_string(i), 10, 1), start);
    const std::uint64_t before = directory.digest;
    for (int i = 0; i < 16; ++i)
        for (int j = i + 1; j < 16; ++j)
        {
            upstream_directory changed = directory;
            for (const int each : {i, j})
            {
                upstream draining =
                    announcement("u" + std::to_string(each), 10, 2);
                draining.state = upstream_state::draining;
                merge(changed, draining, start);
            }
            CHECK(changed.digest != before);
        }
}
