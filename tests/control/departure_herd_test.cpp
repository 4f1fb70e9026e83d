// Guards against a herd of departures that fills the log with one change for
// each notice, so that an operator's change finds no commit for seconds.
#include "control/control_node.hpp"

#include <catch2/catch.hpp>

using namespace bergamotusher;
using control_tests::control_node;

namespace
{

std::vector<upstream_id> many_upstreams()
{
    std::vector<upstream_id> ids(300);
    for (std::size_t i = 0; i < ids.size(); ++i)
        ids[i].value = "u" + std::to_string(i);
    return ids;
}

} // namespace

TEST_CASE("departures that come together take few changes of the log")
{
    constexpr std::uint64_t max_changes = 10;
    const local_cluster::temporary_folder folder;
    control_node node(folder.path, local_cluster::free_address());
    node.run_until_leading();
    const std::uint64_t applied_before = node.applied();
    const auto changes = [&]
    {
        return node.applied() - applied_before;
    };

    SECTION("of many upstreams at once")
    {
        const std::vector<upstream_id> leaving = many_upstreams();
        CHECK(node.withdraw_all(leaving) == leaving.size());
        CHECK(changes() <= max_changes);

        SECTION("and those that are sent again take none")
        {
            const std::uint64_t before = changes();
            CHECK(node.withdraw_all(leaving) == leaving.size());
            CHECK(changes() == before);
        }
    }
    SECTION("of one upstream that sends its notice again and again")
    {
        const std::vector<upstream_id> leaving(50, {"u1"});
        CHECK(node.withdraw_all(leaving) == leaving.size());
        CHECK(changes() <= max_changes);
    }
    SECTION("and a configuration sent behind them is acknowledged")
    {
        const std::vector<upstream_id> leaving = many_upstreams();
        std::size_t acknowledged = 0;
        node.withdraw_each(leaving, [&](bool done) { acknowledged += done; });
        CHECK(node.replace(7, "7"));
        CHECK(changes() <= max_changes);
        node.run_for(300ms);
        CHECK(acknowledged == leaving.size());
    }
}
