// Requests that the entry's site does not allow, while a newer site may be in
// force.
#include "base/clock.hpp"
#include "gateway/relay_fixture.hpp"
#include "site/sample_site.hpp"

#include <boost/asio/steady_timer.hpp>
#include <catch2/catch.hpp>

using namespace relay_fixture;

namespace
{

std::shared_ptr<const site::indexed_configuration> extended_site()
{
    site::configuration value = sample::configuration(2);
    value.routes.push_back(sample::route(
        "added", "/added/", site::route_kind::repeatable, "desk"));
    value.accounts[0].keys.push_back("key-added");
    return site::index_configuration(std::move(value));
}

} // namespace

TEST_CASE("a route or key of a newer site is not refused by an old site")
{
    entry_fixture entry;
    const auto upstream = entry.add_upstream("u1", "desk");
    upstream->scripts = {answer(200, "found")};
    entry.view.site_valid_until = uptime() + 1s;
    entry.view.site_confirmed_at = uptime() - 3s;
    const std::string to_added_route = request("GET", "/added/1");
    const std::string with_added_key =
        "GET /lookup/1 HTTP/1.1\r\nHost: shop.example\r\nKey: key-added\r\n"
        "Attempt: 1\r\n\r\n";
    boost::asio::steady_timer later(entry.loop, 100ms);
    const time_point began = uptime();

    SECTION("but waits for the newer site")
    {
        later.async_wait(
            [&](const boost::system::error_code&)
            {
                entry.view.site = extended_site();
                entry.view.site_confirmed_at = uptime();
                entry.requests->on_site_confirmed();
            });
        const std::string sent = GENERATE_COPY(to_added_route, with_added_key);
        CHECK(contains(entry.send_request(sent), "found"));
    }
    SECTION("is refused as soon as the old site is known to be the newest")
    {
        later.async_wait(
            [&](const boost::system::error_code&)
            {
                entry.view.site_confirmed_at = uptime();
                entry.requests->on_site_confirmed();
            });
        CHECK(contains(entry.send_request(to_added_route), "HTTP/1.1 404"));
        CHECK(uptime() - began < 500ms);
    }
    SECTION("and is told to come back if nothing is heard")
    {
        const std::string received = entry.send_request(with_added_key);
        CHECK(contains(received, "HTTP/1.1 503"));
        CHECK(contains(received, "Retry-After: "));
        CHECK(contains(received, "\"run\":\"not_run\""));
    }
    CHECK(upstream->requests.size() <= 1);
}
