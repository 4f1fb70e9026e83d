// Validation of a configuration, and the choice of the route for a request.
#include "site/sample_site.hpp"

#include <catch2/catch.hpp>

using namespace bergamotusher;
using namespace bergamotusher::site;

TEST_CASE("refuses an inconsistent configuration")
{
    configuration value = sample::configuration();
    REQUIRE_FALSE(check(value));

    SECTION("a route to a service that does not exist; the error names both")
    {
        value.routes[0].services[0].service = {"nowhere"};
        const auto wrong = check(value);
        REQUIRE(wrong);
        CHECK(wrong->kind == error_kind::invalid_configuration);
        CHECK(
            wrong->detail ==
            "route \"order\": service \"nowhere\" does not exist");
    }
    SECTION("two routes with the same host and path prefix")
    {
        value.routes[1].path_prefix = value.routes[0].path_prefix;
        CHECK(check(value));
    }
    SECTION(
        "two routes with the same path prefix whose hosts differ only in case")
    {
        value.routes[1].path_prefix = value.routes[0].path_prefix;
        value.routes[1].host = "SHOP.example";
        CHECK(check(value));
    }
    SECTION("service weights that add up to 0")
    {
        value.routes[0].services[0].weight = 0;
        CHECK(check(value));
    }
    SECTION("a timeout of 0")
    {
        value.routes[0].timeout = 0us;
        CHECK(check(value));
    }
    SECTION("two accounts that share a key")
    {
        value.accounts.push_back(value.accounts[0]);
        value.accounts[1].name = {"other"};
        const auto wrong = check(value);
        REQUIRE(wrong);
        CHECK(wrong->detail == "accounts \"acme\" and \"other\" share a key");
    }
    SECTION("accepts an account that lists a key twice")
    {
        value.accounts[0].keys.push_back("key-1");
        CHECK_FALSE(check(value));
    }
}

TEST_CASE("chooses the route with the longest matching path prefix")
{
    configuration value = sample::configuration();
    value.routes.push_back(
        sample::route("gifts", "/order/gifts/", route_kind::once, "desk"));
    const auto site = index_configuration(value);

    CHECK(find_route(*site, "shop.example", "/order/1")->name == "order");
    CHECK(find_route(*site, "shop.example", "/order/gifts/1")->name == "gifts");
    CHECK(find_route(*site, "shop.example", "/order/gifts")->name == "order");

    SECTION("compares hosts without case and port")
    {
        CHECK(find_route(*site, "Shop.Example:8080", "/order/1") != nullptr);
    }
    SECTION("finds no route for another host or a part of a prefix")
    {
        CHECK(find_route(*site, "other.example", "/order/1") == nullptr);
        CHECK(find_route(*site, "shop.example", "/ord") == nullptr);
    }
    SECTION("finds an account by each of its keys")
    {
        CHECK(find_account(*site, "key-2")->name.value == "acme");
        CHECK(find_account(*site, "key-3") == nullptr);
    }
}
