// Evacuations of failure domains in the replicated state: an order that was
// acknowledged must survive restarts, and a resend must not undo a later order.
#include "site/evacuation.hpp"
#include "site/sample_site.hpp"
#include "site/site_state.hpp"

#include <catch2/catch.hpp>

using namespace bergamotusher;
using namespace bergamotusher::site;

namespace
{

std::variant<configuration, failure> parse(std::string_view)
{
    return sample::configuration(1);
}

struct replica
{
    site_state state;
    std::uint64_t index = 0;

    void order(const char* domain, bool is_evacuated)
    {
        const std::string command =
            encode_set_evacuation({domain}, is_evacuated, {1});
        REQUIRE_FALSE(
            decode_result(apply(state, ++index, prepare(parse, 0, command)))
                .wrong);
    }
};

using names = std::set<failure_domain>;

} // namespace

TEST_CASE("orders of evacuations take effect in the order of the log")
{
    replica node;
    node.order("suva", true);
    REQUIRE(node.state.evacuated == evacuations{{{"suva"}}, 1});

    SECTION("a start that is sent again changes nothing")
    {
        node.order("suva", true);
        CHECK(node.state.evacuated.revision == 1);
    }
    SECTION("an end without a start changes nothing")
    {
        node.order("nadi", false);
        CHECK(node.state.evacuated == evacuations{{{"suva"}}, 1});
    }
    SECTION("two domains are evacuated and withdrawn independently")
    {
        node.order("nadi", true);
        node.order("suva", false);
        CHECK(node.state.evacuated == evacuations{{{"nadi"}}, 3});
    }
    SECTION("every replica ends in the same state")
    {
        node.order("nadi", true);
        node.order("nadi", false);
        replica other;
        other.order("suva", true);
        other.order("nadi", true);
        other.order("nadi", false);
        CHECK(other.state.evacuated == node.state.evacuated);
    }
    SECTION("a snapshot holds them")
    {
        site_state restored;
        REQUIRE_FALSE(restore(restored, parse, snapshot(node.state)));
        CHECK(restored.evacuated == node.state.evacuated);
    }
}

TEST_CASE("a node goes by the newest evacuations that it was told")
{
    evacuations known;
    CHECK(adopt_newer(known, {{{"suva"}}, 4}));

    SECTION("older ones that arrive late are ignored")
    {
        CHECK_FALSE(adopt_newer(known, {{}, 3}));
        CHECK(known.domains == names{{"suva"}});
    }
    SECTION("newer ones replace them")
    {
        CHECK(adopt_newer(known, {{}, 5}));
        CHECK(known.domains.empty());
    }
}
