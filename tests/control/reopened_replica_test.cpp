// Guards against a control node that, after its replica was opened again in the
// running process, goes by the older state of the last snapshot as if that were
// confirmed.
#include "control/control_node.hpp"

#include <catch2/catch.hpp>

using namespace bergamotusher;
using control_tests::control_node;

TEST_CASE("a replica that is opened again does not show an older state")
{
    const local_cluster::temporary_folder folder;
    control_node node(folder.path, local_cluster::free_address());
    node.run_until_leading();
    REQUIRE(node.replace(7, "7"));
    REQUIRE(node.read_version() == 7);

    SECTION("to readers of the configuration")
    {
        node.restart_replica();
        for (int i = 0; i < 100; ++i)
        {
            const auto version = node.read_version();
            CHECK(version.value_or(7) == 7);
            node.run_for(20ms);
        }
        node.run_until_leading();
        CHECK(node.read_version() == 7);
    }
    SECTION("to an upstream whose departure was acknowledged")
    {
        site::upstream value;
        value.id = {"u1"};
        value.service = {"desk"};
        value.address = "127.0.0.1:1";
        value.started_ms = 1000;
        value.sequence = 1;
        REQUIRE(node.announce(value));
        REQUIRE(node.withdraw({"u1"}, 1000, 2));
        node.restart_replica();
        node.run_for(20ms);
        value.sequence = 3;
        node.announce(value);
        CHECK(node.ready_upstreams() == "0");
        node.run_until_ready();
        CHECK(node.ready_upstreams() == "0");
    }
}
