// Guards against replicas that disagree or apply a command twice: the highest
// version wins, a resend is acknowledged, and other content under the version
// in force is refused.
#include "site/move_history.hpp"
#include "site/sample_site.hpp"
#include "site/site_state.hpp"
#include "wire/site.pb.h"

#include <catch2/catch.hpp>

using namespace bergamotusher;
using namespace bergamotusher::site;

namespace
{

/// Parses content that is a version number, or begins with "bad".
std::variant<configuration, failure> parse(std::string_view content)
{
    if (content.substr(0, 3) == "bad")
        return failure{error_kind::invalid_configuration, "bad"};
    return sample::configuration(
        std::stoull(std::string(content.substr(0, content.find(' ')))));
}

struct replica
{
    site_state state;
    std::uint64_t index = 0;

    command_outcome run(const std::string& command)
    {
        return decode_result(
            apply(state, ++index, prepare(parse, state.version, command)));
    }
    command_outcome replace(std::uint64_t version, const std::string& content)
    {
        return run(encode_replace(version, content, {1}));
    }
};

constexpr wall_time noon{1'000'000};

} // namespace

TEST_CASE("the highest version of the configuration wins")
{
    replica node;
    REQUIRE_FALSE(node.replace(7, "7").wrong);
    REQUIRE(node.state.version == 7);

    SECTION("a resend is acknowledged and changes nothing")
    {
        CHECK_FALSE(node.replace(7, "7").wrong);
        CHECK(node.state.version == 7);
    }
    SECTION("an older version is acknowledged and changes nothing")
    {
        CHECK_FALSE(node.replace(5, "5").wrong);
        CHECK(*node.state.content == "7");
    }
    SECTION("refuses other content under the version in force")
    {
        const auto outcome = node.replace(7, "7 other");
        REQUIRE(outcome.wrong);
        CHECK(outcome.wrong->kind == error_kind::revision_conflict);
        CHECK(*node.state.content == "7");
    }
    SECTION("refuses an invalid configuration and keeps the one in force")
    {
        CHECK(node.replace(9, "bad").wrong);
        CHECK(node.state.version == 7);
        CHECK(node.state.current->value.version == 7);
    }
    SECTION("refuses a log entry that was applied before")
    {
        node.index = 0;
        CHECK(node.replace(9, "9").wrong);
        CHECK(node.state.version == 7);
    }
}

TEST_CASE("starts a version move once for a resent command")
{
    replica node;
    node.replace(1, "1");
    REQUIRE_FALSE(
        node.run(encode_start_move({"llm"}, {"v2"}, 12'000, noon)).wrong);
    const version_move first = node.state.moves.at({"llm"});
    CHECK(first.number == 1);

    SECTION("a resend after completion does not start the move again")
    {
        version_move done = first;
        done.state = move_state::completed;
        node.run(encode_advance_move(done, noon));
        CHECK_FALSE(
            node.run(encode_start_move({"llm"}, {"v2"}, 12'000, noon)).wrong);
        CHECK(node.state.moves.at({"llm"}).state == move_state::completed);
        CHECK(node.state.moves.at({"llm"}).number == 1);
    }
    SECTION("a verdict cannot be changed")
    {
        version_move verdict = first;
        verdict.state = move_state::reverted;
        REQUIRE_FALSE(node.run(encode_advance_move(verdict, noon)).wrong);
        verdict.state = move_state::completed;
        CHECK(node.run(encode_advance_move(verdict, noon)).wrong);
        CHECK(node.state.moves.at({"llm"}).state == move_state::reverted);
    }
    SECTION("refuses a move of a service that is not configured")
    {
        const auto outcome =
            node.run(encode_start_move({"none"}, {"v2"}, 12'000, noon));
        REQUIRE(outcome.wrong);
        CHECK(outcome.wrong->detail == "service \"none\" does not exist");
    }
}

TEST_CASE("an order for the next version does not lose the verdict on the one "
          "before")
{
    replica node;
    node.replace(1, "1");
    const auto order = [&](const std::string& target, std::int64_t at_s)
    {
        return node.run(encode_start_move(
            {"llm"}, {target}, 12'000, {noon.milliseconds + at_s * 1'000}));
    };
    const auto end = [&](move_state state)
    {
        version_move ended = node.state.moves.at({"llm"});
        ended.state = state;
        node.run(encode_advance_move(ended, noon));
    };
    const auto move = [&]() -> const version_move&
    {
        return node.state.moves.at({"llm"});
    };
    order("v2", 0);
    end(move_state::reverted);
    order("v3", 5);
    REQUIRE(move().rejected == std::vector<version_name>{{"v2"}});

    SECTION("a resend of the order changes nothing")
    {
        const site_state before = node.state;
        order("v3", 6);
        CHECK(move() == before.moves.at({"llm"}));
    }
    SECTION("a version that was overtaken joins it, and is lifted by an order")
    {
        order("v4", 6);
        CHECK(move().rejected == std::vector<version_name>{{"v2"}, {"v3"}});
        order("v2", 7);
        CHECK(move().rejected == std::vector<version_name>{{"v3"}, {"v4"}});
        end(move_state::completed);
        order("v5", 8);
        CHECK(move().rejected == std::vector<version_name>{{"v3"}, {"v4"}});
        CHECK(move().accepted == version_name{"v2"});
    }
    SECTION("the oldest verdicts are forgotten beyond the bound")
    {
        for (std::size_t i = 0; i < max_rejected_versions + 3; ++i)
            order("w" + std::to_string(i), 6);
        REQUIRE(move().rejected.size() == max_rejected_versions);
        CHECK(move().rejected.front() == version_name{"w2"});
        CHECK(move().rejected.back() == version_name{"w33"});
    }
    SECTION("it is kept by snapshots")
    {
        site_state other;
        REQUIRE_FALSE(restore(other, parse, snapshot(node.state)));
        CHECK(other.moves == node.state.moves);
    }
}

TEST_CASE("reads the reverted move of a snapshot without a history of moves")
{
    wire::site::site_snapshot earlier;
    earlier.set_applied(3);
    earlier.set_version(1);
    earlier.set_content("1");
    wire::site::move_value& reverted = *earlier.add_moves();
    reverted.set_service("llm");
    reverted.set_target("v2");
    reverted.set_state(2);
    reverted.set_number(1);
    replica node;
    REQUIRE_FALSE(restore(node.state, parse, earlier.SerializeAsString()));
    node.index = 3;
    node.run(encode_start_move({"llm"}, {"v3"}, 12'000, noon));
    CHECK(
        node.state.moves.at({"llm"}).rejected ==
        std::vector<version_name>{{"v2"}});
}

TEST_CASE("closes a usage window only once")
{
    replica node;
    REQUIRE_FALSE(
        node.run(encode_close_window({42, {{{"acme"}, 7}}}, noon)).wrong);
    CHECK(node.run(encode_close_window({42, {{{"acme"}, 9}}}, noon)).wrong);
    REQUIRE(node.state.windows.size() == 1);
    CHECK(node.state.windows[0].counts.at({"acme"}) == 7);
}

TEST_CASE("keeps the ceilings of limits until they are removed")
{
    replica node;
    node.run(encode_set_limit_ceilings(
        {{{"acme"}, 500.0}, {{"binder"}, 70.0}}, 4, noon));
    node.run(encode_set_limit_ceilings(
        {{{"acme"}, 0.0}, {{"cedar"}, 1.0}}, 3, noon));
    CHECK(
        node.state.limit_ceilings ==
        admission::account_amounts{{{"binder"}, 70.0}, {{"cedar"}, 1.0}});
    CHECK(node.state.limit_entries == 3);
}

TEST_CASE("restores the whole state from a snapshot")
{
    replica node;
    node.replace(7, "7");
    node.run(encode_start_move({"llm"}, {"v2"}, 12'000, noon));
    node.run(encode_close_window({42, {{{"acme"}, 7}}}, noon));
    node.run(encode_set_limit_ceilings({{{"acme"}, 500.0}}, 4, noon));
    site_state other;
    REQUIRE_FALSE(restore(other, parse, snapshot(node.state)));
    CHECK(other.applied == node.state.applied);
    CHECK(other.version == 7);
    CHECK(*other.content == "7");
    CHECK(other.moves == node.state.moves);
    CHECK(other.windows[0].counts == node.state.windows[0].counts);
    CHECK(other.limit_ceilings == node.state.limit_ceilings);
    CHECK(other.limit_entries == 4);
    CHECK(snapshot(other) == snapshot(node.state));

    SECTION("a malformed snapshot leaves the state unchanged")
    {
        CHECK(restore(other, parse, "\xff\xff"));
        CHECK(other.version == 7);
    }
}
