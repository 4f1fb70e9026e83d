// Tests that an acknowledged departure of an upstream holds when every control
// node restarts: the control service on a real replica with real files.
#include "control/control_node.hpp"

#include <catch2/catch.hpp>

using namespace bergamotusher;
using control_tests::control_node;

namespace
{

site::upstream sample_upstream(std::uint64_t sequence)
{
    site::upstream value;
    value.id = {"u1"};
    value.service = {"desk"};
    value.address = "127.0.0.1:1";
    value.started_ms = 1000;
    value.sequence = sequence;
    return value;
}

} // namespace

// Guards against an upstream that is used again after an acknowledged
// departure, because a late announcement arrives after all nodes restarted.
TEST_CASE("an acknowledged departure holds when every control node restarts")
{
    const local_cluster::temporary_folder folder;
    const std::string address = local_cluster::free_address();
    auto node = std::make_unique<control_node>(folder.path, address);
    node->run_until_leading();
    const site::upstream late = sample_upstream(3);
    REQUIRE(node->announce(sample_upstream(2)));
    REQUIRE(node->ready_upstreams() == "1");
    const auto restart = [&]
    {
        node.reset();
        node = std::make_unique<control_node>(folder.path, address);
    };

    SECTION("of an upstream that is gone")
    {
        REQUIRE(node->withdraw({"u1"}, 1000, 4));
        CHECK(node->ready_upstreams() == "0");
        restart();

        SECTION("and the late announcement arrives at once")
        {
            node->announce(late);
            node->run_until_ready();
            CHECK(node->ready_upstreams() == "0");
        }
        SECTION("and the late announcement arrives afterwards")
        {
            node->run_until_ready();
            node->announce(late);
            CHECK(node->ready_upstreams() == "0");
        }
        SECTION("and a new incarnation is used")
        {
            node->run_until_ready();
            site::upstream started = sample_upstream(1);
            started.started_ms = 2000;
            node->announce(started);
            CHECK(node->ready_upstreams() == "1");
        }
    }
    SECTION("of an upstream whose notice does not name the incarnation")
    {
        REQUIRE(node->withdraw({"u1"}, 0, 0));
        restart();
        node->run_until_ready();
        node->announce(late);
        CHECK(node->ready_upstreams() == "0");

        SECTION("and a notice of an unknown upstream is not accepted")
        {
            CHECK_FALSE(node->withdraw({"u2"}, 0, 0));
        }
    }
    SECTION("of an upstream that drains")
    {
        site::upstream draining = sample_upstream(4);
        draining.state = site::upstream_state::draining;
        REQUIRE(node->announce(draining));
        CHECK(node->ready_upstreams() == "0");
        restart();
        node->run_until_ready();
        node->announce(late);
        CHECK(node->ready_upstreams() == "0");
        draining.sequence = 5;
        CHECK(node->announce(draining));
        CHECK(node->ready_upstreams() == "0");
    }
}
