// What callers see when the entry that holds their requests is stopped.
#include "base/clock.hpp"
#include "gateway/relay_fixture.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include <array>

using namespace relay_fixture;

namespace
{

/// A connection to the entry that collects what it receives.
struct test_caller
{
    explicit test_caller(entry_fixture& entry) : socket(entry.loop)
    {
        socket.connect({boost::asio::ip::address_v4::loopback(), entry.port});
        read();
    }
    explicit test_caller(boost::asio::ip::tcp::socket connected)
        : socket(std::move(connected))
    {
        read();
    }

    void send(const std::string& text)
    {
        boost::asio::write(socket, boost::asio::buffer(text));
    }

    void read()
    {
        socket.async_read_some(
            boost::asio::buffer(chunk),
            [this](const boost::system::error_code& error, std::size_t size)
            {
                received.append(chunk.data(), size);
                if (!error)
                    return read();
                closed = true;
                boost::system::error_code ignored;
                socket.close(ignored);
            });
    }

    bool has(const std::string& text) const
    {
        return received.find(text) != std::string::npos;
    }

    boost::asio::ip::tcp::socket socket;
    std::array<char, 65536> chunk{};
    std::string received;
    bool closed = false;
};

} // namespace

TEST_CASE("a request at work when its entry ends is answered that it may have "
          "run, not cut")
{
    entry_fixture entry;
    const auto upstream = entry.add_upstream("u1", "desk");
    upstream->scripts = {"<wait>"};
    test_caller caller(entry);
    caller.send(request("POST", "/order/1"));
    REQUIRE(entry.run_until([&] { return upstream->requests.size() == 1; }));
    entry.callers->close_after_answers();
    entry.requests->reject_new_requests();
    entry.callers->stop_accepting();
    entry.requests->end_requests();
    CHECK(entry.run_until([&] { return caller.closed; }));
    CHECK(caller.has("HTTP/1.1 504"));
    CHECK(caller.has("Attempt: 1"));
    CHECK(entry.run_until([&] { return entry.callers->is_drained(); }));
}

TEST_CASE("a request that was never sent when its entry ends is answered that "
          "it did not run, not cut")
{
    entry_fixture entry;
    const auto upstream = entry.add_upstream("u1", "desk");
    test_caller caller(entry);

    SECTION("while it waits for an upstream")
    {
        upstream->scripts = std::vector<std::string>(8, "<wait>");
        std::vector<std::unique_ptr<test_caller>> others;
        while (others.size() < 8)
        {
            others.push_back(std::make_unique<test_caller>(entry));
            others.back()->send(request("POST", "/order/1"));
        }
        entry.run_until([&] { return upstream->requests.size() >= 8; }, 300ms);
        const std::size_t sent = upstream->requests.size();
        caller.send(request("POST", "/order/2", 2));
        REQUIRE(entry.run_until(
            [&] { return entry.requests->counters().received == 9; }));
        REQUIRE(entry.view.services[{"desk"}].waiting > 0);
        entry.requests->end_requests();
        CHECK(entry.run_until([&] { return caller.has("Retry-After"); }));
        CHECK(upstream->requests.size() == sent);
    }
    SECTION("while it waits for a site")
    {
        entry.view.site_valid_until = uptime() - 1s;
        caller.send(request("POST", "/order/1"));
        REQUIRE(
            entry.run_until([&] { return entry.requests->in_flight() == 1; }));
        entry.requests->end_requests();
        CHECK(entry.run_until([&] { return caller.has("Retry-After"); }));
        CHECK(upstream->requests.empty());
    }
    CHECK(caller.has("HTTP/1.1 503"));
    CHECK(entry.requests->in_flight() == 0);
}

TEST_CASE("a stream that has begun is not ended before its entry ends")
{
    entry_fixture entry;
    const auto upstream = entry.add_upstream("u1", "llm");
    upstream->scripts = {stream_head() + event(1) + "<wait>"};
    test_caller caller(entry);
    caller.send(request("POST", "/chat/1"));
    REQUIRE(entry.run_until([&] { return caller.has("id: 1"); }));
    entry.requests->end_requests();
    CHECK_FALSE(entry.run_until([&] { return caller.closed; }, 100ms));
    entry.callers.reset();
    CHECK(entry.run_until([&] { return caller.closed; }));
    CHECK_FALSE(caller.has("0\r\n\r\n"));
}

TEST_CASE("an answer that its caller still reads is not cut when the entry "
          "closes idle connections")
{
    entry_fixture entry;
    const auto upstream = entry.add_upstream("u1", "desk");
    // More than the socket buffers hold.
    const std::string large(std::size_t{3} << 20, 'x');
    upstream->scripts = {answer(200, large)};
    boost::asio::ip::tcp::socket socket(entry.loop);
    socket.connect({boost::asio::ip::address_v4::loopback(), entry.port});
    boost::asio::write(
        socket, boost::asio::buffer(request("POST", "/order/1")));
    REQUIRE(entry.run_until(
        [&] { return entry.requests->counters().answered == 1; }));
    entry.callers->close_after_answers();
    entry.callers->stop_accepting();
    test_caller caller(std::move(socket));
    CHECK(entry.run_until([&] { return caller.closed; }));
    CHECK(caller.received.size() > large.size());
    CHECK(entry.run_until([&] { return entry.callers->is_drained(); }));
}

TEST_CASE("a request that has arrived is answered when the entry closes idle "
          "connections")
{
    entry_fixture entry;
    const auto upstream = entry.add_upstream("u1", "desk");
    test_caller caller(entry);

    SECTION("on a connection that was used before")
    {
        upstream->scripts = {answer(200, "first")};
        caller.send(request("POST", "/order/1"));
        REQUIRE(entry.run_until([&] { return caller.has("first"); }));
    }
    SECTION("on a connection that was not accepted yet") {}
    caller.send(request("POST", "/order/2", 2));
    entry.requests->reject_new_requests();
    entry.callers->stop_accepting();
    CHECK(entry.run_until([&] { return caller.closed; }));
    CHECK(caller.has("HTTP/1.1 503"));
    CHECK(caller.has("Retry-After"));
    CHECK(caller.has("Connection: close"));
    CHECK(entry.run_until([&] { return entry.callers->is_drained(); }));
}

TEST_CASE("a request that may have run is not answered as not run while it "
          "waits to be sent again")
{
    entry_fixture entry;
    const auto first = entry.add_upstream("u1", "desk");
    first->scripts = {"<cut>"};
    const auto full = entry.add_upstream("u2", "desk");
    upstream_view& other = *entry.view.upstreams[{"u2"}];
    other.own_running = other.value.slots;
    const std::string text =
        "GET /lookup/1 HTTP/1.1\r\nHost: shop.example\r\nKey: key-1\r\n"
        "Attempt: 1\r\nPatience-Ms: 300\r\n\r\n";
    const std::string received = entry.send_request(text);
    CHECK(first->requests.size() == 1);
    CHECK(full->requests.empty());
    CHECK(received.find("HTTP/1.1 50") == 0);
    CHECK(received.find("HTTP/1.1 503") == std::string::npos);
}

TEST_CASE("a request that would still be at work when its entry ends is "
          "refused and not sent")
{
    entry_fixture entry;
    const auto upstream = entry.add_upstream("u1", "desk");
    test_caller caller(entry);
    const std::string text = request("POST", "/order/1");

    SECTION("at once, by the time that answers take")
    {
        // Answers are expected within 300 ms, the route's target.
        entry.requests->send_only_until(uptime() + 200ms);
        caller.send(text);
    }
    SECTION("once it has waited too long for an upstream")
    {
        upstream_view& full = *entry.view.upstreams[{"u1"}];
        full.own_running = full.value.slots;
        entry.requests->send_only_until(uptime() + 1300ms);
        caller.send(text);
        REQUIRE(entry.run_until(
            [&] { return entry.view.services[{"desk"}].waiting == 1; }));
        entry.run_until([] { return false; }, 1050ms);
        entry.requests->tick();
        CHECK(entry.view.services[{"desk"}].waiting == 0);
    }
    CHECK(entry.run_until([&] { return caller.has("Retry-After"); }));
    CHECK(caller.has("HTTP/1.1 503"));
    CHECK(upstream->requests.empty());
}

TEST_CASE("a request that is likely to end before its entry is still served")
{
    entry_fixture entry;
    const auto upstream = entry.add_upstream("u1", "desk");
    upstream->scripts = {answer(200, "taken")};
    entry.requests->send_only_until(uptime() + 3s);
    CHECK(
        entry.send_request(request("POST", "/order/1")).find("taken") !=
        std::string::npos);
}
