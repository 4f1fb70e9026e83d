// Callers of one account are pointed to few entries, never to draining ones.
#include "membership/entry_order.hpp"

#include <catch2/catch.hpp>

#include <set>

using namespace bergamotusher;
using namespace bergamotusher::membership;

namespace
{

std::vector<entry_address> four()
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
    auto entries = four();
    const auto first = order_entries(entries, {"acme"}, {});
    REQUIRE(first.size() == 4);

    SECTION("the same whoever answers")
    {
        std::reverse(entries.begin(), entries.end());
        CHECK(order_entries(entries, {"acme"}, {}) == first);
    }
    SECTION("a caller's own failure domain goes first among the best")
    {
        const auto near = order_entries(entries, {"acme"}, first[1].domain);
        CHECK(near[0] == first[1]);
        CHECK(near[1] == first[0]);
    }
    SECTION("without those that drain or fell silent; the others stay")
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
    SECTION("with draining ones when there is no other")
    {
        for (auto& entry : entries)
            entry.draining = true;
        CHECK(order_entries(entries, {"acme"}, {}).size() == 4);
    }
    SECTION("and other accounts have other ones")
    {
        std::set<std::string> best;
        for (int i = 0; i < 50; ++i)
            best.insert(order_entries(entries, {"a" + std::to_string(i)}, {})[0]
                            .id.value);
        CHECK(best.size() == 4);
    }
}

TEST_CASE("the answer has the agreed shape")
{
    CHECK(
        entries_json({{{"n1"}, "10.0.0.1:80", {"suva"}, false, true}}) ==
        R"({"entries":[{"address":"10.0.0.1:80","failure_domain":"suva"}],)"
        R"("ttl_s":5})");
}
