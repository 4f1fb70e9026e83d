// Guards against an operator that gets no answer for a change that is in force
// already, because each time that it is sent again it needs a commit of its
// own.
#include "control/control_node.hpp"

#include <catch2/catch.hpp>

using namespace bergamotusher;
using control_tests::control_node;

TEST_CASE("a configuration that the state has overtaken is acknowledged "
          "without a change of the log")
{
    const local_cluster::temporary_folder folder;
    control_node node(folder.path, local_cluster::free_address());
    node.run_until_leading();
    REQUIRE(node.replace(7, "7"));
    const std::uint64_t applied = node.applied();
    CHECK(node.replace(7, "7"));
    CHECK(node.replace(6, "6"));
    CHECK(node.applied() == applied);
    CHECK(node.read_version() == 7);
    // Other content under the version held is refused.
    CHECK_FALSE(node.replace(7, "8"));
}
