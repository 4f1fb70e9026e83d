// What a service's upstreams take in each failure domain.
#include "site/domain_rooms.hpp"

#include <catch2/catch.hpp>

using namespace bergamotusher;
using namespace bergamotusher::site;

TEST_CASE("a domain's capacity is what its usable upstreams take")
{
    upstream_directory directory;
    const auto add = [&](const char* id, const char* domain)
    {
        upstream value;
        value.id = {id};
        value.service = {"chat"};
        value.domain = {domain};
        value.slots = 10;
        directory.upstreams[value.id].value = value;
    };
    add("a", "north");
    add("b", "north");
    add("c", "south");
    service_work work;
    work.arrivals = {{{"north"}, 30}, {{"west"}, 5}};
    work.request_time_s = 0.5;
    std::set<failure_domain> evacuated;
    std::map<upstream_id, double> limits;
    std::set<upstream_id> silent;
    const auto capacity = [&](std::size_t index)
    {
        const auto rooms =
            domain_rooms(directory, {"chat"}, work, evacuated, limits, silent);
        REQUIRE(rooms.size() == 3);
        return rooms[index].capacity;
    };
    CHECK(capacity(0) == 40);
    CHECK(capacity(1) == 20);
    CHECK(capacity(2) == 0);
    SECTION("an evacuated domain has none")
    {
        evacuated.insert({"north"});
        CHECK(capacity(0) == 0);
        CHECK(capacity(1) == 20);
    }
    SECTION("neither do upstreams that are silent or drain")
    {
        silent.insert({"a"});
        directory.upstreams[{"c"}].value.state = upstream_state::draining;
        CHECK(capacity(0) == 20);
        CHECK(capacity(1) == 0);
    }
    SECTION("limits and prompts bound it")
    {
        limits[{"a"}] = 3;
        CHECK(capacity(0) == 23);
        work.prompt_bound_rate = 8;
        CHECK(capacity(0) == 11);
    }
    SECTION("nothing is told where nothing bounds an upstream")
    {
        work.request_time_s = 0;
        CHECK(domain_rooms(directory, {"chat"}, work, evacuated, limits, silent)
                  .empty());
    }
}
