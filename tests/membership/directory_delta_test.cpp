// Entries that share what they hear come to one directory, and a message that
// was held up gives no upstream more time.
#include "membership/directory_delta.hpp"
#include "wire/directory_codec.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace bergamotusher;
using namespace bergamotusher::membership;

namespace
{

constexpr time_point start{1000s};
const node_id a{"a"};
const node_id b{"b"};

upstream worker(const std::string& id, std::uint64_t incarnation = 1)
{
    upstream value;
    value.id = {id};
    value.incarnation = incarnation;
    value.service = {"llm"};
    value.version = {"v1"};
    value.domain = {"suva"};
    value.slots = 8;
    return value;
}

bool takes_work(const directory& dir, const std::string& id, time_point now)
{
    const directory_entry* entry = find(dir, {id});
    return entry && may_take_work(*entry, now);
}

void send(
    directory& from,
    const node_id& from_id,
    directory& to,
    const node_id& to_id,
    time_point now)
{
    const auto result =
        merge(to, collect_delta(from, from_id, 1, now), to_id, 1, now);
    if (result.answer)
        merge(from, *result.answer, from_id, 1, now);
}

} // namespace

TEST_CASE("an upstream that announces itself to one entry is known to another")
{
    directory one;
    directory two;
    announce(one, worker("w1"), start);
    send(one, a, two, b, start);
    REQUIRE(takes_work(two, "w1", start));

    SECTION("its renewals are passed on")
    {
        announce(one, worker("w1"), start + 1s);
        send(one, a, two, b, start + 1s);
        CHECK(takes_work(two, "w1", start + 2s));
    }
    SECTION("its silence is seen at both")
    {
        send(one, a, two, b, start + 1s);
        CHECK_FALSE(takes_work(two, "w1", start + 2s));
        SECTION("and its return")
        {
            expire(two, start + 2s);
            announce(one, worker("w1"), start + 3s);
            const auto delta = collect_delta(one, a, 1, start + 3s);
            CHECK(merge(two, delta, b, 1, start + 3s).changed.size() == 1);
            CHECK(takes_work(two, "w1", start + 3s));
        }
    }
    SECTION("it leaves by the other entry, and the first one hears of it")
    {
        leave(two, {"w1"});
        announce(one, worker("w1"), start + 100ms);
        send(two, b, one, a, start + 100ms);
        CHECK_FALSE(takes_work(one, "w1", start + 100ms));
        SECTION("and the first one's delta does not revive it")
        {
            announce(one, worker("w1"), start + 200ms);
            send(one, a, two, b, start + 200ms);
            CHECK_FALSE(takes_work(two, "w1", start + 200ms));
        }
    }
    SECTION("a delta held up on the way gives it no more time")
    {
        announce(one, worker("w1"), start + 400ms);
        const directory_delta late = collect_delta(one, a, 1, start + 400ms);
        merge(two, late, b, 1, start + 10s);
        CHECK_FALSE(takes_work(two, "w1", start + 10s));
    }
    SECTION("a lost delta is made good by the next exchange")
    {
        announce(one, worker("w2"), start);
        collect_delta(one, a, 1, start);
        CHECK_FALSE(takes_work(two, "w2", start));
        send(two, b, one, a, start);
        CHECK(takes_work(two, "w2", start));
        CHECK(digest(one) == digest(two));
    }
}

TEST_CASE("deltas merge to one result in any order and number")
{
    CHECK(rc::check(
        []
        {
            std::vector<directory_delta> deltas;
            directory sources[3];
            const node_id names[3] = {{"a"}, {"b"}, {"c"}};
            for (int i = 0; i < 12; ++i)
            {
                const int at = *rc::gen::inRange(0, 3);
                upstream value = worker(
                    *rc::gen::element<std::string>("w1", "w2"),
                    *rc::gen::inRange<std::uint64_t>(1, 3));
                value.version = {*rc::gen::element<std::string>("v1", "v2")};
                if (*rc::gen::inRange(0, 4) == 0)
                    leave(sources[at], value.id);
                else
                    announce(sources[at], value, start);
                deltas.push_back(
                    collect_delta(sources[at], names[at], 1, start));
            }
            directory left;
            directory right;
            const auto order = *rc::gen::container<std::vector<std::size_t>>(
                24, rc::gen::inRange<std::size_t>(0, deltas.size()));
            for (const auto& delta : deltas)
                merge(left, delta, a, 1, start);
            for (const std::size_t i : order)
                merge(right, deltas[i], b, 1, start);
            for (auto i = deltas.rbegin(); i != deltas.rend(); ++i)
                merge(right, *i, b, 1, start);
            RC_ASSERT(digest(left) == digest(right));
            for (const auto& [id, entry] : left.entries)
                RC_ASSERT(find(right, id)->value == entry.value);
        }));
}

TEST_CASE("a delta is read as it was written")
{
    directory dir;
    announce(dir, worker("w1"), start);
    announce(dir, worker("w2"), start);
    collect_delta(dir, a, 1, start);
    announce(dir, worker("w2"), start + 1s);
    notice(dir, upstream_id{"w1"}, start + 30s);
    relay(dir, load_report{{"w1"}, 4, 3, 2, 0.5, 70});
    relay(dir, cache_events{{"w1"}, 1, {1, 2}, {3}, true});
    const directory_delta delta = collect_delta(dir, a, 9, start + 2s);
    REQUIRE(delta.records.size() == 1);
    REQUIRE(delta.renewals.size() == 1);
    const std::string bytes = wire::encode(delta);
    const auto read = wire::decode_directory_delta(bytes);
    CHECK(std::get<directory_delta>(read) == delta);

    SECTION("and cut or changed bytes are refused or read, never worse")
    {
        CHECK(rc::check(
            [&bytes]
            {
                std::string broken = bytes;
                const auto at = *rc::gen::inRange<std::size_t>(0, bytes.size());
                broken[at] = *rc::gen::arbitrary<char>();
                broken.resize(*rc::gen::inRange(at, bytes.size()) + 1);
                const auto result = wire::decode_directory_delta(broken);
                directory into;
                if (const auto* value = std::get_if<directory_delta>(&result))
                    merge(into, *value, b, 1, start);
            }));
    }
}
