#include "site/sample_site.hpp"
#include "site/site_store.hpp"

#include <catch2/catch.hpp>

using namespace bergamotusher;
using namespace bergamotusher::site;

namespace
{

std::variant<configuration, failure> parse(std::string_view content)
{
    return sample::configuration(std::stoull(std::string(content)));
}

} // namespace

TEST_CASE("a state is read with the confirmation that belongs to it")
{
    int changes = 0;
    site_store store(parse, [&] { ++changes; });
    store.apply(1, encode_replace(7, "7", {1}));
    CHECK_FALSE(store.read().confirmed_at);

    const time_point at{5s};
    store.confirm(at);
    CHECK(store.read().confirmed_at == at);
    CHECK(store.read().state->version == 7);
    CHECK(changes == 2);

    SECTION("readers share one copy until the state changes")
    {
        const auto first = store.read().state;
        store.confirm(at + 1s);
        CHECK(store.read().state == first);
        store.apply(2, encode_replace(8, "8", {1}));
        CHECK(store.read().state != first);
        CHECK(first->version == 7);
    }
    SECTION("it stays confirmed when it changes")
    {
        store.apply(2, encode_replace(8, "8", {1}));
        CHECK(store.read().confirmed_at == at);
        CHECK(store.read().state->version == 8);
    }
    SECTION("an older state that is restored is unconfirmed")
    {
        REQUIRE_FALSE(store.restore({}));
        CHECK_FALSE(store.read().confirmed_at);
        CHECK(store.read().state->version == 0);
    }
}
