// Callers of one account must get the same few entries from every entry, and
// no draining entry while there are others.
#include "membership/entry_order.hpp"

#include <catch2/catch.hpp>

#include <set>

using namespace bergamotusher;
using namespace bergamotusher::membership;

namespace
{

std::vector<entry_address> four_entries()
{
    return {
        {{"n1"}, "10.0.0.1:80", {"suva"}, false, true},
        {{"n2"}, "10.0.0.2:80", {"nadi"}, false, true},
        {{"n3"}, "10.0.0.3:80", {"lautoka"}, false, true},
        {{"n4"}, "10.0.0.4:80", {"suva"}, false, true}};
}

} // namespace

TEST_CASE("entries are ordered for an account")
{
    auto entries = four_entries();
    const auto first = order_entries(entries, {"acme"}, {});
    REQUIRE(first.size() == 4);

    SECTION("independent of the order of the input")
    {
        std::reverse(entries.begin(), entries.end());
        CHECK(order_entries(entries, {"acme"}, {}) == first);
    }
    SECTION("the caller's failure domain comes first among the best")
    {
        const auto near = order_entries(entries, {"acme"}, first[1].domain);
        CHECK(near[0] == first[1]);
        CHECK(near[1] == first[0]);
    }
    SECTION("draining and silent entries are removed, the others keep order")
    {
        for (auto& entry : entries)
        {
            entry.draining = entry.id == first[0].id;
            entry.alive = entry.id != first[2].id;
        }
        const auto left = order_entries(entries, {"acme"}, {});
        REQUIRE(left.size() == 2);
        CHECK(left[0].id == first[1].id);
        CHECK(left[1].id == first[3].id);
    }
    SECTION("draining entries are returned if there are no others")
    {
        for (auto& entry : entries)
            entry.draining = true;
        CHECK(order_entries(entries, {"acme"}, {}).size() == 4);
    }
    SECTION("different accounts get different entries")
    {
        std::set<std::string> best;
        for (int i = 0; i < 50; ++i)
            best.insert(order_entries(entries, {"a" + std::to_string(i)}, {})[0]
                            .id.value);
        CHECK(best.size() == 4);
    }
}

TEST_CASE("the answer is JSON with addresses, failure domains and TTL")
{
    CHECK(
        entries_json({{{"n1"}, "10.0.0.1:80", {"suva"}, false, true}}) ==
        R"({"entries":[{"address":"10.0.0.1:80","failure_domain":"suva"}],)"
        R"("ttl_s":5})");
}
