// Which versions an entry sends requests to over a series of version moves.
// Guards against a version that was reverted, or overtaken before its verdict,
// and gets requests again as if it were the old version of a later move.
#include "gateway/entry_view.hpp"
#include "site/sample_site.hpp"
#include "site/site_codec.hpp"
#include "site/site_state.hpp"

#include <catch2/catch.hpp>

#include <set>

using namespace bergamotusher;
using namespace bergamotusher::gateway;
using site::move_state;

namespace
{

constexpr std::int64_t move_duration_ms = 12'000;
constexpr std::uint32_t canary_share = 70;
/// A draw beyond every share that a test sets.
constexpr std::uint32_t old_version_draw = 999;

using versions = std::set<std::string>;

std::variant<site::configuration, failure> parse(std::string_view)
{
    return sample::configuration();
}

/// A replica, and an entry that is told its moves.
struct site_with_entry
{
    site::site_state state;
    entry_view view;
    std::int64_t now_ms = 1'000'000;

    site_with_entry()
    {
        run(site::encode_replace(1, "1", {now_ms}));
    }

    void run(const std::string& command)
    {
        const auto outcome = site::decode_result(site::apply(
            state,
            state.applied + 1,
            site::prepare(parse, state.version, command)));
        REQUIRE_FALSE(outcome.wrong);
        tell_entry();
    }

    void tell_entry()
    {
        view.moves.clear();
        for (const auto& [service, move] : state.moves)
        {
            wire::site::move_value sent;
            site::write(sent, move);
            view.moves[service] = site::read(sent);
        }
    }

    void order(const std::string& target, const std::string& service = "llm")
    {
        now_ms += 1'000;
        run(site::encode_start_move(
            {service}, {target}, move_duration_ms, {now_ms}));
    }

    void advance(
        move_state to, std::uint32_t share, const std::string& service = "llm")
    {
        site::version_move next = state.moves.at({service});
        next.state = to;
        next.share = share;
        run(site::encode_advance_move(next, {now_ms}));
    }

    void revert(const std::string& target, const std::string& service = "llm")
    {
        order(target, service);
        advance(move_state::reverted, 0, service);
    }

    void complete(const std::string& target)
    {
        order(target);
        advance(move_state::completed, 1000);
    }

    /// Replaces the upstreams by one of each version.
    void list(
        const std::vector<std::string>& running,
        const std::string& service = "llm")
    {
        view.directory = {};
        for (const std::string& version : running)
        {
            site::upstream value = sample::announcement("u-" + version, 1, 1);
            value.service = {service};
            value.version = {version};
            value.address =
                "10.0.0.1:" + std::to_string(view.directory.upstreams.size());
            site::merge(view.directory, value, time_point{});
        }
        sync_upstreams(view, time_point{});
    }

    versions
    chosen(std::uint32_t draw, const std::string& service = "llm") const
    {
        versions found;
        for (const upstream_view* each :
             eligible_upstreams(view, {service}, draw))
            found.insert(each->value.version.value);
        return found;
    }
    versions old_versions() const
    {
        return chosen(old_version_draw);
    }
};

} // namespace

TEST_CASE("a reverted version gets no requests when another one is ordered")
{
    site_with_entry site;
    site.list({"v1", "v2"});
    site.revert("v2");
    REQUIRE(site.old_versions() == versions{"v1"});
    site.list({"v1", "v2", "v3"});
    site.order("v3");

    SECTION("while the next move is active")
    {
        CHECK(site.old_versions() == versions{"v1"});
        site.advance(move_state::active, canary_share);
        CHECK(site.old_versions() == versions{"v1"});
        CHECK(site.chosen(0) == versions{"v3"});
    }
    SECTION("when the next move is reverted as well")
    {
        site.advance(move_state::reverted, 0);
        CHECK(site.old_versions() == versions{"v1"});
        site.list({"v1", "v2", "v3", "v4"});
        site.order("v4");
        CHECK(site.old_versions() == versions{"v1"});
    }
    SECTION("when the next move is completed and its upstreams are gone")
    {
        site.advance(move_state::completed, 1000);
        site.list({"v1", "v2"});
        CHECK(site.old_versions() == versions{"v1"});
        site.list({"v2"});
        CHECK(site.old_versions().empty());
    }
    SECTION("at an entry that follows a replica restored from a snapshot")
    {
        site_with_entry other;
        REQUIRE_FALSE(
            site::restore(other.state, parse, site::snapshot(site.state)));
        other.tell_entry();
        other.list({"v1", "v2", "v3"});
        CHECK(other.old_versions() == versions{"v1"});
    }
    SECTION("and gets none where no other version has an upstream")
    {
        site.list({"v2"});
        CHECK(site.old_versions().empty());
        CHECK(site.chosen(0).empty());
    }
}

TEST_CASE("a version whose move was overtaken is not an old version")
{
    site_with_entry site;
    site.list({"v1", "v2", "v3"});
    site.order("v2");
    site.advance(move_state::active, 1000);
    site.order("v3");
    CHECK(site.old_versions() == versions{"v1"});
    site.advance(move_state::reverted, 0);
    CHECK(site.old_versions() == versions{"v1"});
}

TEST_CASE("a reverted version that is ordered again gets its share")
{
    site_with_entry site;
    site.list({"v1", "v2", "v3"});
    site.revert("v2");
    site.revert("v3");
    site.order("v2");
    site.advance(move_state::active, canary_share);
    CHECK(site.chosen(0) == versions{"v2"});
    CHECK(site.old_versions() == versions{"v1"});

    SECTION("and all requests once it is completed, v3 none")
    {
        site.advance(move_state::completed, 1000);
        CHECK(site.chosen(0) == versions{"v2"});
        CHECK(site.old_versions() == versions{"v2"});
        site.order("v3");
        CHECK(site.old_versions() == versions{"v2"});
    }
    SECTION("and none once it is reverted again")
    {
        site.advance(move_state::reverted, 0);
        site.list({"v1", "v2", "v3", "v4"});
        site.order("v4");
        CHECK(site.old_versions() == versions{"v1"});
    }
}

TEST_CASE("the last completed version is the old version of the next move")
{
    site_with_entry site;
    site.complete("v2");
    site.list({"v1", "v2", "v3"});

    SECTION("late upstreams of the version before it get nothing")
    {
        site.order("v3");
        CHECK(site.old_versions() == versions{"v2"});
        site.advance(move_state::reverted, 0);
        CHECK(site.old_versions() == versions{"v2"});
    }
    SECTION("they are used where it has no upstream")
    {
        site.order("v3");
        site.list({"v1", "v3"});
        CHECK(site.old_versions() == versions{"v1"});
    }
    SECTION("it serves on while the version before it is tried anew")
    {
        site.order("v1");
        site.advance(move_state::active, canary_share);
        CHECK(site.old_versions() == versions{"v2"});
        CHECK(site.chosen(0) == versions{"v1"});
    }
    SECTION("it serves on when it is ordered after a version that was reverted")
    {
        site.revert("v3");
        site.order("v2");
        CHECK(site.old_versions() == versions{"v2"});
        site.advance(move_state::reverted, 0);
        CHECK(site.old_versions() == versions{"v2"});
        site.order("v4");
        CHECK(site.old_versions() == versions{"v2"});
    }
}

TEST_CASE("requests are not refused while only the target of an active move "
          "has upstreams")
{
    site_with_entry site;
    site.list({"v1", "v2"});
    site.revert("v2");
    site.order("v1");
    site.advance(move_state::active, canary_share);

    SECTION("as when the first version is ordered after a reverted one")
    {
        CHECK(site.old_versions() == versions{"v1"});
    }
    SECTION("but wait while the entry may not know the others yet")
    {
        site.view.awaiting_directory = true;
        CHECK(site.old_versions().empty());
        CHECK(site.chosen(0) == versions{"v1"});
    }
    SECTION("but are refused once it is reverted")
    {
        site.advance(move_state::reverted, 0);
        CHECK(site.old_versions().empty());
    }
    SECTION("and go to an old version as soon as one has an upstream")
    {
        site.list({"v0", "v1", "v2"});
        CHECK(site.old_versions() == versions{"v0"});
    }
}

TEST_CASE("a verdict holds for one service only")
{
    site_with_entry site;
    site.list({"v1", "v2", "v3"}, "desk");
    site.revert("v2", "llm");
    site.order("v3", "llm");
    site.order("v3", "desk");
    CHECK(site.chosen(old_version_draw, "desk") == versions{"v1", "v2"});
}

TEST_CASE("an upstream that tells no version counts as one of the old version "
          "before a move was completed")
{
    site_with_entry site;
    site.list({"", "v1", "v2", "v3"});
    site.revert("v2");
    site.order("v3");
    CHECK(site.old_versions() == versions{"", "v1"});
    site.advance(move_state::completed, 1000);
    site.order("v4");
    CHECK(site.old_versions() == versions{"v3"});
}
