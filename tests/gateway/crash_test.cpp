// Requests that crash the upstreams that run them.
#include "base/clock.hpp"
#include "gateway/relay_fixture.hpp"

#include <catch2/catch.hpp>

#include <memory>
#include <string>
#include <vector>

using namespace relay_fixture;

namespace
{

std::string
with_parts(const std::string& parts, int attempt, const std::string& body)
{
    return "POST /chat/1 HTTP/1.1\r\nHost: shop.example\r\nKey: key-1\r\n"
           "Attempt: " +
           std::to_string(attempt) + "\r\nParts: " + parts +
           "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
           body;
}

/// An entry whose upstreams of service llm are there one after the other.
struct upstream_series
{
    entry_fixture entry;
    std::unique_ptr<scripted_upstream> current;
    std::size_t reached = 0;
    int number = 0;

    /// Sends a request to a new upstream that acts by `script`; afterwards the
    /// upstream is gone.
    /// State of an upstream from when it has received the request.
    site::upstream_state state_at_request = site::upstream_state::ready;

    std::string send(
        const std::string& parts,
        std::string script,
        const std::string& body = "")
    {
        ++number;
        const std::string id = "u" + std::to_string(number);
        current = entry.add_upstream(id, "llm");
        current->scripts = {std::move(script)};
        current->on_request = [&]
        {
            entry.view.upstreams.at({id})->value.state = state_at_request;
        };
        std::string received = entry.send_request(
            with_parts(parts, number, body.empty() ? id : body));
        // Deaths at one moment count as one.
        entry.run_until([] { return false; }, 250ms);
        reached += current->requests.size();
        mark_gone(entry.view.directory, {id}, 0, 2, uptime());
        entry.requests->on_upstreams_changed();
        return received;
    }

    std::string answered(int events = 3)
    {
        std::string script = stream_head(number + 1);
        for (int i = 1; i <= events; ++i)
            script += event(i);
        return script + "0\r\n\r\n";
    }
};

} // namespace

TEST_CASE("requests with a part that crashes upstreams stop reaching them")
{
    upstream_series upstreams;
    const std::string deadly = "5 7 ";

    SECTION("after three of them, though no two requests are alike")
    {
        for (int i = 0; i < 10; ++i)
            upstreams.send(deadly + std::to_string(100 + i), "<die>");
        CHECK(upstreams.reached == 3);

        const std::string refused = upstreams.send(deadly + "200", "<die>");
        CHECK(contains(refused, "HTTP/1.1 503"));
        CHECK(contains(refused, "content_suspended"));
        CHECK(contains(refused, "\"run\":\"not_run\""));
        CHECK(contains(refused, "Retry-After: "));
    }
    SECTION("while sound requests that share other parts are served")
    {
        upstreams.send("5 300", upstreams.answered());
        for (int i = 0; i < 5; ++i)
            upstreams.send(deadly + std::to_string(100 + i), "<die>");
        upstreams.reached = 0;
        upstreams.send(deadly + "200", "<die>");
        CHECK(upstreams.reached == 0);
        CHECK(contains(upstreams.send("5 301", upstreams.answered()), "id: 3"));
    }
    SECTION("but not if an upstream only resets connections")
    {
        for (int i = 0; i < 5; ++i)
            upstreams.send(deadly + std::to_string(100 + i), "<reset>");
        CHECK(upstreams.reached == 5);
    }
    SECTION("but not if the upstreams had announced that they leave")
    {
        upstreams.state_at_request = site::upstream_state::draining;
        for (int i = 0; i < 5; ++i)
            upstreams.send(deadly + std::to_string(100 + i), "<die>");
        CHECK(upstreams.reached == 5);
    }
    SECTION("but not the last part, which no other request has")
    {
        for (int i = 0; i < 5; ++i)
            upstreams.send(std::to_string(100 + i) + " 7", "<die>");
        CHECK(upstreams.reached == 5);
    }
}

TEST_CASE("a request that comes again after it crashed three upstreams is "
          "refused")
{
    upstream_series upstreams;
    for (int i = 0; i < 6; ++i)
        upstreams.send("", "<die>", "the same each time");
    CHECK(upstreams.reached == 3);
}
