// Tests of the recorded departures and of the announcements that they outdate.
#include "site/departures.hpp"
#include "site/site_state.hpp"

#include <catch2/catch.hpp>

using namespace bergamotusher;
using namespace bergamotusher::site;

namespace
{

const upstream_id id{"u1"};

upstream announcement(
    std::int64_t started_ms,
    std::uint64_t sequence,
    upstream_state state = upstream_state::ready)
{
    upstream value;
    value.id = id;
    value.started_ms = started_ms;
    value.sequence = sequence;
    value.state = state;
    return value;
}

} // namespace

TEST_CASE("a departure outdates what the upstream announced before it")
{
    departure_map recorded;
    CHECK_FALSE(is_outdated(recorded, announcement(10, 1)));

    SECTION("while it drains")
    {
        record_departure(recorded, id, {10, 5, false, 0});
        CHECK(is_outdated(recorded, announcement(10, 4)));
        CHECK_FALSE(is_outdated(
            recorded, announcement(10, 6, upstream_state::draining)));
        CHECK(is_recorded(recorded, id, {10, 6, false, 0}));
        CHECK_FALSE(is_recorded(recorded, id, {10, 6, true, 0}));
    }
    SECTION("once it is gone")
    {
        record_departure(recorded, id, {10, 5, true, 0});
        CHECK(is_outdated(recorded, announcement(10, 4)));
        CHECK(is_outdated(recorded, announcement(10, 9)));
        CHECK(is_outdated(
            recorded, announcement(10, 4, upstream_state::draining)));
        CHECK(is_recorded(recorded, id, {10, 0, false, 0}));

        SECTION("and draining does not replace it")
        {
            record_departure(recorded, id, {10, 6, false, 0});
            CHECK(recorded.at(id).is_gone);
        }
    }
    SECTION("but not a later incarnation")
    {
        record_departure(recorded, id, {10, 5, true, 0});
        CHECK_FALSE(is_outdated(recorded, announcement(11, 1)));
        CHECK(is_outdated(recorded, announcement(9, 9)));
        CHECK_FALSE(is_recorded(recorded, id, {11, 1, true, 0}));
    }
}

TEST_CASE("departures are kept for a limited time and number")
{
    departure_map recorded;
    record_departure(recorded, id, {10, 5, true, 1000});
    record_departure(
        recorded, {"u2"}, {10, 5, true, 1000 + departure_retention_ms});
    CHECK(recorded.count(id) == 1);
    record_departure(
        recorded, {"u3"}, {10, 5, true, 1001 + departure_retention_ms});
    CHECK(recorded.count(id) == 0);
    CHECK(recorded.size() == 2);
    for (std::size_t i = 0; i < max_departures; ++i)
        record_departure(
            recorded,
            {"v" + std::to_string(i)},
            {10, 5, true, 2000 + departure_retention_ms});
    CHECK(recorded.size() == max_departures);
    CHECK(recorded.count({"u2"}) == 0);
}

TEST_CASE("departures are part of the replicated state and its snapshot")
{
    const configuration_parser parse = nullptr;
    site_state state;
    const std::string command =
        encode_record_departures({{id, {10, 5, true, 0}}}, wall_time{700});
    CHECK_FALSE(
        decode_result(apply(state, 1, prepare(parse, state.version, command)))
            .wrong);
    const departure expected{10, 5, true, 700};
    CHECK(state.departures == departure_map{{id, expected}});
    site_state restored;
    REQUIRE_FALSE(restore(restored, parse, snapshot(state)));
    CHECK(restored.departures == state.departures);
}
