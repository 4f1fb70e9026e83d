// Requests that do not fit into the entry's grant of their account's limit.
#include "base/clock.hpp"
#include "gateway/relay_fixture.hpp"
#include "site/sample_site.hpp"

#include <catch2/catch.hpp>

using namespace relay_fixture;

namespace
{

/// The test's site with a limit of 100 requests per second.
std::shared_ptr<const site::indexed_configuration> limited_site()
{
    site::configuration value = sample::configuration();
    value.accounts[0].rate = 100;
    value.accounts[0].burst = 100;
    return site::index_configuration(std::move(value));
}

} // namespace

TEST_CASE("a request that exceeds the entry's grant waits for a larger one")
{
    entry_fixture entry;
    const account_id account{"acme"};
    entry.view.site = limited_site();
    entry.view.grants[account] = 0;
    entry.view.grants_reported_at = uptime();
    const auto upstream = entry.add_upstream("u1", "desk");
    upstream->scripts = {answer(200, "found")};
    boost::asio::steady_timer later(entry.loop, 100ms);
    const time_point began = uptime();

    SECTION("and is served once more was granted")
    {
        later.async_wait(
            [&](const boost::system::error_code&)
            {
                CHECK(entry.view.limits_nearly_used);
                CHECK(entry.view.wanted[account] == Approx(1));
                entry.view.grants[account] = 1;
                entry.requests->on_limits_granted(uptime());
            });
        CHECK(
            contains(entry.send_request(request("GET", "/lookup/1")), "found"));
    }
    SECTION("not by the answer to a report that was sent before")
    {
        const time_point reported_before = uptime();
        later.async_wait(
            [&](const boost::system::error_code&)
            {
                entry.requests->on_limits_granted(reported_before);
                CHECK(entry.requests->in_flight() == 1);
                entry.requests->on_limits_granted(uptime());
                CHECK(entry.requests->in_flight() == 0);
            });
        CHECK(contains(
            entry.send_request(request("GET", "/lookup/1")), "HTTP/1.1 429"));
    }
    SECTION("but not if the leader had no more for an earlier one")
    {
        entry.view.exhausted_limits = {account};
        CHECK(contains(
            entry.send_request(request("GET", "/lookup/1")), "HTTP/1.1 429"));
        CHECK(uptime() - began < 50ms);
    }
    SECTION("and is refused if no answer comes")
    {
        boost::asio::steady_timer ticks(entry.loop);
        std::function<void()> tick = [&]
        {
            ticks.expires_after(100ms);
            ticks.async_wait(
                [&](const boost::system::error_code& error)
                {
                    if (error)
                        return;
                    entry.requests->tick();
                    tick();
                });
        };
        tick();
        CHECK(contains(
            entry.send_request(request("GET", "/lookup/1")), "HTTP/1.1 429"));
        CHECK(uptime() - began < 600ms);
        CHECK(upstream->requests.empty());
    }
}
