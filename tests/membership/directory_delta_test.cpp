// Entries that exchange deltas must end with equal directories, and a delta
// that was delayed in the network must not extend a lease.
#include "membership/directory_delta.hpp"
#include "wire/directory_codec.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace bergamotusher;
using namespace bergamotusher::membership;

namespace
{

constexpr time_point start{1000s};
const node_id first_id{"a"};
const node_id second_id{"b"};

upstream make_upstream(const std::string& id, std::uint64_t incarnation = 1)
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
    return entry && accepts_new_work(*entry, now);
}

void exchange_deltas(
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

TEST_CASE("an upstream announced to one entry becomes known to another")
{
    directory first;
    directory second;
    announce(first, make_upstream("w1"), start);
    exchange_deltas(first, first_id, second, second_id, start);
    REQUIRE(takes_work(second, "w1", start));

    SECTION("renewals are forwarded")
    {
        announce(first, make_upstream("w1"), start + 1s);
        exchange_deltas(first, first_id, second, second_id, start + 1s);
        CHECK(takes_work(second, "w1", start + 2s));
    }
    SECTION("its lease expires on both entries")
    {
        exchange_deltas(first, first_id, second, second_id, start + 1s);
        CHECK_FALSE(takes_work(second, "w1", start + 2s));
        SECTION("and its next renewal is reported as a change")
        {
            expire(second, start + 2s);
            announce(first, make_upstream("w1"), start + 3s);
            const auto delta = collect_delta(first, first_id, 1, start + 3s);
            CHECK(
                merge(second, delta, second_id, 1, start + 3s).changed.size() ==
                1);
            CHECK(takes_work(second, "w1", start + 3s));
        }
    }
    SECTION("leaving at the other entry is forwarded to the first")
    {
        mark_leaving(second, {"w1"});
        announce(first, make_upstream("w1"), start + 100ms);
        exchange_deltas(second, second_id, first, first_id, start + 100ms);
        CHECK_FALSE(takes_work(first, "w1", start + 100ms));
        SECTION("and a later delta of the first entry does not undo it")
        {
            announce(first, make_upstream("w1"), start + 200ms);
            exchange_deltas(first, first_id, second, second_id, start + 200ms);
            CHECK_FALSE(takes_work(second, "w1", start + 200ms));
        }
    }
    SECTION("a delayed delta does not extend the lease")
    {
        announce(first, make_upstream("w1"), start + 400ms);
        const directory_delta late =
            collect_delta(first, first_id, 1, start + 400ms);
        merge(second, late, second_id, 1, start + 10s);
        CHECK_FALSE(takes_work(second, "w1", start + 10s));
    }
    SECTION("a lost delta is repaired by the next exchange of digests")
    {
        announce(first, make_upstream("w2"), start);
        collect_delta(first, first_id, 1, start);
        CHECK_FALSE(takes_work(second, "w2", start));
        exchange_deltas(second, second_id, first, first_id, start);
        CHECK(takes_work(second, "w2", start));
        CHECK(digest(first) == digest(second));
    }
}

TEST_CASE("merging does not depend on order and number of deliveries")
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
                upstream value = make_upstream(
                    *rc::gen::element<std::string>("w1", "w2"),
                    *rc::gen::inRange<std::uint64_t>(1, 3));
                value.version = {*rc::gen::element<std::string>("v1", "v2")};
                if (*rc::gen::inRange(0, 4) == 0)
                    mark_leaving(sources[at], value.id);
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
                merge(left, delta, first_id, 1, start);
            for (const std::size_t i : order)
                merge(right, deltas[i], second_id, 1, start);
            for (auto i = deltas.rbegin(); i != deltas.rend(); ++i)
                merge(right, *i, second_id, 1, start);
            RC_ASSERT(digest(left) == digest(right));
            for (const auto& [id, entry] : left.entries)
                RC_ASSERT(find(right, id)->value == entry.value);
        }));
}

TEST_CASE("encoding and decoding a delta returns an equal delta")
{
    directory dir;
    announce(dir, make_upstream("w1"), start);
    announce(dir, make_upstream("w2"), start);
    collect_delta(dir, first_id, 1, start);
    announce(dir, make_upstream("w2"), start + 1s);
    add_reclaim_notice(dir, upstream_id{"w1"}, start + 30s);
    queue_for_delta(dir, load_report{{"w1"}, 4, 3, 2, 0.5, 70});
    queue_for_delta(dir, cache_events{{"w1"}, 1, {1, 2}, {3}, true});
    const directory_delta delta = collect_delta(dir, first_id, 9, start + 2s);
    REQUIRE(delta.records.size() == 1);
    REQUIRE(delta.renewals.size() == 1);
    const std::string bytes = wire::encode(delta);
    const auto read = wire::decode_directory_delta(bytes);
    CHECK(std::get<directory_delta>(read) == delta);

    SECTION("and damaged bytes are refused or decoded, without a crash")
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
                    merge(into, *value, second_id, 1, start);
            }));
    }
}
