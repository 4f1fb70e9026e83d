// The replicated site: the highest version holds, a resend is acknowledged,
// other content under the version held is not.
#include "site/sample_site.hpp"
#include "site/site_state.hpp"

#include <catch2/catch.hpp>

using namespace bergamotusher;
using namespace bergamotusher::site;

namespace
{

/// Content of these tests: a version, or "bad".
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
        return decode_result(apply(state, parse, ++index, command));
    }
    command_outcome replace(std::uint64_t version, const std::string& content)
    {
        return run(encode_replace(version, content, {1}));
    }
};

constexpr wall_time noon{1'000'000};

} // namespace

TEST_CASE("the highest version of the site holds")
{
    replica one;
    REQUIRE_FALSE(one.replace(7, "7").wrong);
    REQUIRE(one.state.version == 7);

    SECTION("the same order again is acknowledged and changes nothing")
    {
        CHECK_FALSE(one.replace(7, "7").wrong);
        CHECK(one.state.version == 7);
    }
    SECTION("an older one is acknowledged and changes nothing")
    {
        CHECK_FALSE(one.replace(5, "5").wrong);
        CHECK(*one.state.content == "7");
    }
    SECTION("other content under the version held is refused")
    {
        const auto outcome = one.replace(7, "7 other");
        REQUIRE(outcome.wrong);
        CHECK(outcome.wrong->kind == error_kind::revision_conflict);
        CHECK(*one.state.content == "7");
    }
    SECTION("an invalid one is refused, and what holds is kept")
    {
        CHECK(one.replace(9, "bad").wrong);
        CHECK(one.state.version == 7);
        CHECK(one.state.current->value.version == 7);
    }
    SECTION("an entry of the log that was applied changes nothing more")
    {
        one.index = 0;
        CHECK(one.replace(9, "9").wrong);
        CHECK(one.state.version == 7);
    }
}

TEST_CASE("an order to move a service is taken once")
{
    replica one;
    one.replace(1, "1");
    REQUIRE_FALSE(
        one.run(encode_start_move({"llm"}, {"v2"}, 12'000, noon)).wrong);
    const version_move first = one.state.moves.at({"llm"});
    CHECK(first.number == 1);

    SECTION("a resend finds its own move, also once it has completed")
    {
        version_move done = first;
        done.state = move_state::completed;
        one.run(encode_advance_move(done, noon));
        CHECK_FALSE(
            one.run(encode_start_move({"llm"}, {"v2"}, 12'000, noon)).wrong);
        CHECK(one.state.moves.at({"llm"}).state == move_state::completed);
        CHECK(one.state.moves.at({"llm"}).number == 1);
    }
    SECTION("a verdict is final")
    {
        version_move verdict = first;
        verdict.state = move_state::reverted;
        REQUIRE_FALSE(one.run(encode_advance_move(verdict, noon)).wrong);
        verdict.state = move_state::completed;
        CHECK(one.run(encode_advance_move(verdict, noon)).wrong);
        CHECK(one.state.moves.at({"llm"}).state == move_state::reverted);
    }
    SECTION("a service that is not configured cannot be moved")
    {
        const auto outcome =
            one.run(encode_start_move({"none"}, {"v2"}, 12'000, noon));
        REQUIRE(outcome.wrong);
        CHECK(outcome.wrong->detail == "service \"none\" does not exist");
    }
}

TEST_CASE("a usage window is closed once, whoever closes it")
{
    replica one;
    REQUIRE_FALSE(
        one.run(encode_close_window({42, {{{"acme"}, 7}}}, noon)).wrong);
    CHECK(one.run(encode_close_window({42, {{{"acme"}, 9}}}, noon)).wrong);
    REQUIRE(one.state.windows.size() == 1);
    CHECK(one.state.windows[0].counts.at({"acme"}) == 7);
}

TEST_CASE("a snapshot holds everything")
{
    replica one;
    one.replace(7, "7");
    one.run(encode_start_move({"llm"}, {"v2"}, 12'000, noon));
    one.run(encode_close_window({42, {{{"acme"}, 7}}}, noon));
    site_state other;
    REQUIRE_FALSE(restore(other, parse, snapshot(one.state)));
    CHECK(other.applied == one.state.applied);
    CHECK(other.version == 7);
    CHECK(*other.content == "7");
    CHECK(other.moves == one.state.moves);
    CHECK(other.windows[0].counts == one.state.windows[0].counts);
    CHECK(snapshot(other) == snapshot(one.state));

    SECTION("bytes that are none leave the state as it was")
    {
        CHECK(restore(other, parse, "\xff\xff"));
        CHECK(other.version == 7);
    }
}
