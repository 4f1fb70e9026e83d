// Requests through a relay over real sockets, with upstreams that send scripted
// answers.
#include "base/clock.hpp"
#include "gateway/relay_fixture.hpp"

#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include <array>

using namespace relay_fixture;

TEST_CASE("an upstream's answer is forwarded unchanged")
{
    entry_fixture entry;
    const auto upstream = entry.add_upstream("u1", "desk");
    upstream->scripts = {answer(201, "made")};
    const std::string received =
        entry.send_request(request("POST", "/order/1"));
    CHECK(contains(received, "HTTP/1.1 201 X\r\n"));
    CHECK(contains(received, "Signed: yes\r\n"));
    CHECK(contains(received, "\r\n\r\nmade"));

    SECTION("the upstream receives the account but not the key")
    {
        REQUIRE(upstream->requests.size() == 1);
        CHECK(contains(upstream->requests[0], "POST /order/1 HTTP/1.1\r\n"));
        CHECK(contains(upstream->requests[0], "Account: acme\r\n"));
        CHECK_FALSE(contains(upstream->requests[0], "key-1"));
    }
    SECTION("the next request reuses the connection")
    {
        upstream->scripts = {answer(200, "again", 2)};
        entry.send_request(request("POST", "/order/2", 2));
        CHECK(upstream->connections == 1);
    }
}

TEST_CASE("requests that cannot be served are rejected at once")
{
    entry_fixture entry;

    SECTION("without an upstream, with a Retry-After")
    {
        const std::string received =
            entry.send_request(request("POST", "/order/1"));
        CHECK(contains(received, "HTTP/1.1 503"));
        CHECK(contains(received, "Retry-After: "));
        CHECK(contains(received, "\"run\":\"not_run\""));
    }
    SECTION("without a route or without a key")
    {
        CHECK(contains(
            entry.send_request(request("GET", "/none/1")), "HTTP/1.1 404"));
        CHECK(contains(
            entry.send_request(
                "GET /lookup/1 HTTP/1.1\r\nHost: shop.example\r\n\r\n"),
            "HTTP/1.1 401"));
    }
    SECTION("with a head that two parsers could interpret differently")
    {
        CHECK(contains(
            entry.send_request(
                "POST /order/1 HTTP/1.1\r\nHost: shop.example\r\n"
                "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n"
                "0\r\n\r\nGET /lookup/ HTTP/1.1\r\n\r\n"),
            "HTTP/1.1 400"));
    }
    SECTION("while the entry rejects new requests")
    {
        entry.requests->reject_new_requests();
        CHECK(contains(
            entry.send_request(request("GET", "/lookup/1")), "HTTP/1.1 503"));
    }
}

TEST_CASE("a request waits for a site that is expected")
{
    entry_fixture entry;
    const auto upstream = entry.add_upstream("u1", "desk");
    upstream->scripts = {answer(200, "found")};
    entry.view.site_valid_until = uptime() - 100ms;

    SECTION("and is served once the site was received")
    {
        boost::asio::steady_timer later(entry.loop, 100ms);
        later.async_wait(
            [&](const boost::system::error_code&)
            {
                entry.view.site_valid_until = uptime() + 1h;
                entry.requests->on_site_confirmed();
            });
        CHECK(
            contains(entry.send_request(request("GET", "/lookup/1")), "found"));
    }
    SECTION("and is rejected if no site is received")
    {
        const time_point began = uptime();
        CHECK(contains(
            entry.send_request(request("GET", "/lookup/1")), "HTTP/1.1 503"));
        CHECK(uptime() - began < 1500ms);
        CHECK(upstream->requests.empty());
    }
}

TEST_CASE("a request waits for a directory that is expected")
{
    entry_fixture entry;
    entry.view.awaiting_directory = true;
    std::unique_ptr<scripted_upstream> upstream;
    boost::asio::steady_timer later(entry.loop, 100ms);

    SECTION("and is served once an upstream of its service is known")
    {
        later.async_wait(
            [&](const boost::system::error_code&)
            {
                entry.view.awaiting_directory = false;
                upstream = entry.add_upstream("u1", "desk");
                upstream->scripts = {answer(200, "found")};
            });
        CHECK(
            contains(entry.send_request(request("GET", "/lookup/1")), "found"));
    }
    SECTION("and is rejected once a directory without such an upstream was "
            "received")
    {
        const time_point began = uptime();
        later.async_wait(
            [&](const boost::system::error_code&)
            {
                entry.view.awaiting_directory = false;
                entry.requests->tick();
            });
        CHECK(contains(
            entry.send_request(request("GET", "/lookup/1")), "HTTP/1.1 503"));
        CHECK(uptime() - began < 500ms);
    }
}

TEST_CASE("a non-repeatable request is not sent twice")
{
    entry_fixture entry;
    const auto first = entry.add_upstream("u1", "desk");
    const auto second = entry.add_upstream("u2", "desk");

    SECTION("when its connection is reset")
    {
        first->scripts = second->scripts = {"<reset>"};
        CHECK(contains(
            entry.send_request(request("POST", "/order/1")), "HTTP/1.1 502"));
        CHECK(first->requests.size() + second->requests.size() == 1);
    }
    SECTION("when its answer is truncated")
    {
        first->scripts = second->scripts = {
            "HTTP/1.1 200 X\r\nSigned: yes\r\nContent-Length: "
            "9\r\n\r\nhalf<cut>"};
        CHECK(contains(
            entry.send_request(request("POST", "/order/1")), "HTTP/1.1 502"));
        CHECK(first->requests.size() + second->requests.size() == 1);
    }
    SECTION("when its answer is not signed")
    {
        first->scripts =
            second->scripts = {"HTTP/1.1 200 X\r\nContent-Length: 2\r\n\r\nok"};
        CHECK(contains(
            entry.send_request(request("POST", "/order/1")), "HTTP/1.1 502"));
        CHECK(first->requests.size() + second->requests.size() == 1);
    }
    SECTION("but is retried on another upstream after a rejection")
    {
        const std::string full =
            "HTTP/1.1 503 X\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n";
        first->scripts = {full, answer(200, "one")};
        second->scripts = {full, answer(200, "two")};
        const std::string received =
            entry.send_request(request("POST", "/order/1"));
        // Both upstreams reject their first request.
        CHECK(contains(received, "HTTP/1.1 503"));
        CHECK(contains(received, "Retry-After"));
        CHECK(first->requests.size() + second->requests.size() == 2);
    }
}

TEST_CASE("a repeatable request is retried when its first upstream fails")
{
    entry_fixture entry;
    const auto first = entry.add_upstream("u1", "desk");
    const auto second = entry.add_upstream("u2", "desk");
    first->scripts = second->scripts = {"<reset>", answer(200, "found")};
    SECTION("once, since the route allows two attempts")
    {
        CHECK(contains(
            entry.send_request(request("GET", "/lookup/1")), "HTTP/1.1 502"));
        CHECK(first->requests.size() == 1);
        CHECK(second->requests.size() == 1);
    }
    SECTION("and its answer is forwarded")
    {
        (first->scripts) = {answer(200, "found")};
        (second->scripts) = {answer(200, "found")};
        CHECK(
            contains(entry.send_request(request("GET", "/lookup/1")), "found"));
    }
}

TEST_CASE("an answer to an earlier request is skipped")
{
    entry_fixture entry;
    const auto upstream = entry.add_upstream("u1", "desk");
    upstream->scripts = {answer(200, "stray", 7) + answer(200, "mine", 1)};
    const std::string received =
        entry.send_request(request("POST", "/order/1"));
    CHECK(contains(received, "mine"));
    CHECK_FALSE(contains(received, "stray"));
    CHECK(entry.requests->connections().stray_answers == 1);
}

TEST_CASE("bytes after a complete answer end the reuse of the connection")
{
    entry_fixture entry;
    const auto upstream = entry.add_upstream("u1", "desk");
    upstream->scripts = {answer(200, "one") + "more", answer(200, "two", 2)};
    CHECK(contains(entry.send_request(request("POST", "/order/1")), "one"));
    CHECK(contains(entry.send_request(request("POST", "/order/2", 2)), "two"));
    CHECK(upstream->connections == 2);
}

TEST_CASE("an answer without a length ends when its connection closes")
{
    entry_fixture entry;
    const auto upstream = entry.add_upstream("u1", "desk");
    SECTION("it is complete if the connection is closed")
    {
        upstream->scripts = {
            "HTTP/1.1 200 X\r\nSigned: 1\r\n\r\nall of it<cut>"};
        CHECK(contains(
            entry.send_request(request("POST", "/order/1")), "all of it"));
    }
    SECTION("it is incomplete if the connection is reset")
    {
        upstream->scripts = {
            "HTTP/1.1 200 X\r\nSigned: 1\r\n\r\nhalf of<reset>"};
        CHECK(contains(
            entry.send_request(request("POST", "/order/1")), "HTTP/1.1 502"));
    }
}

TEST_CASE("an interrupted stream is resumed at another upstream")
{
    entry_fixture entry;
    const auto first = entry.add_upstream("u1", "llm");
    const auto second = entry.add_upstream("u2", "llm");
    // Both are idle, so the first one by id is tried first.
    first->scripts = {
        stream_head() + event(1) + event(2) + "9\r\nid: 3\nda<cut>"};
    second->scripts = {stream_head() + event(3) + event(4) + "0\r\n\r\n"};

    SECTION("after the last complete event")
    {
        const std::string received =
            entry.send_request(request("POST", "/chat/1"));
        REQUIRE(second->requests.size() == 1);
        CHECK_FALSE(contains(first->requests.at(0), "Resume"));
        CHECK(contains(second->requests[0], "Resume: 2\r\n"));
        std::string joined;
        for (int id = 1; id <= 4; ++id)
            joined += "id: " + std::to_string(id) + "\ndata: x\n\n";
        answer_parser parser;
        parser.eager(true);
        std::string bytes = received;
        boost::beast::error_code error;
        REQUIRE(feed(parser, bytes, error) == parse_outcome::done);
        CHECK(parser.body == joined);
    }
    SECTION("also if its answer has no length and ends inside an event")
    {
        const std::string head =
            "HTTP/1.1 200 OK\r\nSigned: yes\r\nAttempt: 1\r\n\r\n";
        const std::string events = GENERATE(
            "id: 1\ndata: x\n\nid: 2\ndata: x\n\nid: 3\nda",
            "id: 1\ndata: x\n\nid: 2\ndata: x\n\nid: 3\ndata: x\n");
        first->scripts = {head + events + "<cut>"};
        const std::string received =
            entry.send_request(request("POST", "/chat/1"));
        REQUIRE(second->requests.size() == 1);
        CHECK(contains(second->requests[0], "Resume: 2\r\n"));
        CHECK(contains(received, "id: 4"));
    }
    SECTION("from its start if its answer ends before the first event")
    {
        first->scripts = {
            "HTTP/1.1 200 OK\r\nSigned: yes\r\nAttempt: 1\r\n\r\n<cut>"};
        CHECK(
            contains(entry.send_request(request("POST", "/chat/1")), "id: 4"));
    }
    SECTION("and closes without its last chunk if it is interrupted again")
    {
        second->scripts = {stream_head() + event(3) + "9\r\nid: 4\nda<cut>"};
        const std::string received =
            entry.send_request(request("POST", "/chat/1"));
        CHECK(contains(received, "id: 3"));
        CHECK_FALSE(contains(received, "id: 4"));
        CHECK(contains(received, "<closed>"));
        CHECK_FALSE(contains(received, "0\r\n\r\n"));
    }
}

TEST_CASE("a draining entry stays up until its answers were sent")
{
    entry_fixture entry;
    const auto upstream = entry.add_upstream("u1", "desk");
    // More than the socket buffers hold.
    const std::string large(std::size_t{3} << 20, 'x');
    upstream->scripts = {answer(200, large)};
    entry.callers->close_after_answers();
    boost::asio::ip::tcp::socket caller(entry.loop);
    caller.connect({boost::asio::ip::address_v4::loopback(), entry.port});
    boost::asio::write(
        caller, boost::asio::buffer(request("POST", "/order/1")));
    REQUIRE(entry.run_until(
        [&] { return entry.requests->counters().answered == 1; }));
    CHECK(entry.requests->in_flight() == 0);
    CHECK_FALSE(entry.callers->is_drained());
    std::string received;
    std::array<char, 65536> chunk{};
    std::function<void()> read = [&]
    {
        caller.async_read_some(
            boost::asio::buffer(chunk),
            [&](const boost::system::error_code& error, std::size_t size)
            {
                received.append(chunk.data(), size);
                if (!error)
                    return read();
                boost::system::error_code ignored;
                caller.close(ignored);
            });
    };
    read();
    CHECK(entry.run_until([&] { return entry.callers->is_drained(); }));
    CHECK(received.size() > large.size());
}

TEST_CASE("a request ends when its caller disconnects")
{
    entry_fixture entry;
    const auto upstream = entry.add_upstream("u1", "desk");
    upstream->scripts = {"<wait>"};
    entry.send_request(request("POST", "/order/1"), 200ms);
    CHECK(entry.run_until([&] { return entry.requests->in_flight() == 0; }));
    CHECK(entry.requests->counters().caller_disconnects == 1);
}

TEST_CASE("a request that exceeds its timeout is answered with 504")
{
    entry_fixture entry;
    const auto upstream = entry.add_upstream("u1", "desk");
    upstream->scripts = {"<wait>"};
    const time_point began = uptime();
    std::string text = request("POST", "/order/1");
    text.insert(text.find("Attempt"), "Patience-Ms: 200\r\n");
    CHECK(contains(entry.send_request(text), "HTTP/1.1 504"));
    CHECK(uptime() - began < 700ms);
}
