// Announcements come late, twice, out of order, and from incarnations that
// have ended; all nodes end with the same directory.
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

TEST_CASE("the newest announcement of an upstream holds")
{
    upstream_directory directory;
    REQUIRE(
        merge(directory, announcement("a", 10, 1), start) ==
        merge_outcome::changed);

    SECTION("the same facts again are only a sign of life")
    {
        CHECK(
            merge(directory, announcement("a", 10, 2), start + 1s) ==
            merge_outcome::refreshed);
        CHECK(directory.upstreams.at({"a"}).heard_at == start + 1s);
    }
    SECTION("a late one changes nothing")
    {
        merge(directory, announcement("a", 10, 5), start);
        CHECK(
            merge(
                directory,
                announcement("a", 10, 4, upstream_state::draining),
                start) == merge_outcome::stale);
    }
    SECTION("a new start of the same id counts anew")
    {
        merge(directory, announcement("a", 10, 900), start);
        CHECK(
            merge(directory, announcement("a", 20, 1), start) ==
            merge_outcome::changed);
        CHECK(
            merge(directory, announcement("a", 10, 901), start) ==
            merge_outcome::stale);
    }
    SECTION("what has gone stays gone, until it starts anew")
    {
        REQUIRE(remove(directory, {"a"}, 0, 0, start));
        CHECK(
            merge(directory, announcement("a", 10, 9), start) ==
            merge_outcome::stale);
        CHECK(
            merge(directory, announcement("a", 11, 1), start) ==
            merge_outcome::changed);
    }
    SECTION("a farewell of an earlier start says nothing of this one")
    {
        merge(directory, announcement("a", 20, 1), start);
        CHECK_FALSE(remove(directory, {"a"}, 10, 99, start));
    }
    SECTION("one that is not heard from is silent, then forgotten")
    {
        CHECK(silent(directory, 5s, start + 4s).empty());
        CHECK(silent(directory, 5s, start + 6s).size() == 1);
        forget(directory, 30s, start + 30s);
        CHECK(directory.upstreams.empty());
        CHECK(directory.digest == 0);
    }
}

TEST_CASE("an entry that missed a drain hears of it with its next report")
{
    upstream_directory directory;
    merge(directory, announcement("a", 10, 1), start);
    merge(directory, announcement("b", 10, 1), start);
    const std::uint64_t before = directory.digest;
    time_point sent_whole_at = start + 100s;
    const time_point now = start + 100s + 300ms;
    // The message that told of it was lost; a whole directory was sent right
    // before.
    merge(directory, announcement("a", 10, 2, upstream_state::draining), now);
    const auto news = news_for(directory, before, sent_whole_at, now + 400ms);
    REQUIRE(news.size() == 1);
    CHECK(news[0].id.value == "a");
    CHECK(news[0].state == upstream_state::draining);

    SECTION("and of everything once a while has passed")
    {
        CHECK(news_for(directory, before, sent_whole_at, now + 3s).size() == 2);
        CHECK(sent_whole_at == now + 3s);
    }
    SECTION("and of nothing once it has the same directory")
    {
        CHECK(
            news_for(directory, directory.digest, sent_whole_at, now).empty());
    }
}

TEST_CASE("announcements in any order lead to the same directory")
{
    CHECK(rc::check(
        "merge is commutative",
        []
        {
            std::vector<upstream> news;
            news.reserve(12);
            const auto count = *rc::gen::inRange(1, 12);
            for (int i = 0; i < count; ++i)
                news.push_back(announcement(
                    *rc::gen::element<std::string>("a", "b"),
                    *rc::gen::inRange(1, 4),
                    static_cast<std::uint64_t>(*rc::gen::inRange(1, 5)),
                    *rc::gen::element(
                        upstream_state::ready, upstream_state::draining)));
            // An incarnation says one thing under one number.
            for (const upstream& a : news)
                for (const upstream& b : news)
                    RC_PRE(
                        a.id != b.id || a.started_ms != b.started_ms ||
                        a.sequence != b.sequence || a.state == b.state);
            upstream_directory one;
            upstream_directory other;
            for (const upstream& each : news)
                merge(one, each, start);
            std::reverse(news.begin(), news.end());
            for (const upstream& each : news)
                merge(other, each, start);
            RC_ASSERT(one.digest == other.digest);
        }));
}
