// The life of a request between real sockets, with an upstream that follows a
// script.
#include "base/clock.hpp"
#include "gateway/relay_world.hpp"

#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include <array>

using namespace relay_world;

namespace
{

bool holds(const std::string& text, const std::string& part)
{
    return text.find(part) != std::string::npos;
}

} // namespace

TEST_CASE("an answer comes back as the upstream gave it")
{
    world entry;
    const auto desk = entry.upstream("u1", "desk");
    desk->scripts = {answer(201, "made")};
    const std::string got = entry.ask(request("POST", "/order/1"));
    CHECK(holds(got, "HTTP/1.1 201 X\r\n"));
    CHECK(holds(got, "Signed: yes\r\n"));
    CHECK(holds(got, "\r\n\r\nmade"));

    SECTION("the upstream is told the account and not the key")
    {
        REQUIRE(desk->requests.size() == 1);
        CHECK(holds(desk->requests[0], "POST /order/1 HTTP/1.1\r\n"));
        CHECK(holds(desk->requests[0], "Account: acme\r\n"));
        CHECK_FALSE(holds(desk->requests[0], "key-1"));
    }
    SECTION("the next request takes the same connection")
    {
        desk->scripts = {answer(200, "again", 2)};
        entry.ask(request("POST", "/order/2", 2));
        CHECK(desk->connections == 1);
    }
}

TEST_CASE("what cannot be served is refused at once")
{
    world entry;

    SECTION("without an upstream, with a time to come back")
    {
        const std::string got = entry.ask(request("POST", "/order/1"));
        CHECK(holds(got, "HTTP/1.1 503"));
        CHECK(holds(got, "Retry-After: "));
        CHECK(holds(got, "\"run\":\"not_run\""));
    }
    SECTION("without a route or a key")
    {
        CHECK(holds(entry.ask(request("GET", "/none/1")), "HTTP/1.1 404"));
        CHECK(holds(
            entry.ask("GET /lookup/1 HTTP/1.1\r\nHost: shop.example\r\n\r\n"),
            "HTTP/1.1 401"));
    }
    SECTION("with a head that two readers could understand differently")
    {
        CHECK(holds(
            entry.ask("POST /order/1 HTTP/1.1\r\nHost: shop.example\r\n"
                      "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n"
                      "0\r\n\r\nGET /lookup/ HTTP/1.1\r\n\r\n"),
            "HTTP/1.1 400"));
    }
    SECTION("by a site that may be old, once the lease has lapsed for long")
    {
        entry.requests->refuse_new();
        CHECK(holds(entry.ask(request("GET", "/lookup/1")), "HTTP/1.1 503"));
    }
}

TEST_CASE("a request waits for a site that is on its way")
{
    world entry;
    const auto desk = entry.upstream("u1", "desk");
    desk->scripts = {answer(200, "found")};
    entry.view.site_valid_until = uptime() - 100ms;

    SECTION("and is served once it has come")
    {
        boost::asio::steady_timer later(entry.loop, 100ms);
        later.async_wait(
            [&](const boost::system::error_code&)
            {
                entry.view.site_valid_until = uptime() + 1h;
                entry.requests->site_confirmed();
            });
        CHECK(holds(entry.ask(request("GET", "/lookup/1")), "found"));
    }
    SECTION("and is refused if it does not come")
    {
        const time_point began = uptime();
        CHECK(holds(entry.ask(request("GET", "/lookup/1")), "HTTP/1.1 503"));
        CHECK(uptime() - began < 1500ms);
        CHECK(desk->requests.empty());
    }
}

TEST_CASE("a request waits for the directory that is on its way")
{
    world entry;
    entry.view.directory_awaited = true;
    std::unique_ptr<scripted_upstream> desk;
    boost::asio::steady_timer later(entry.loop, 100ms);

    SECTION("and is served once an upstream of its service is known")
    {
        later.async_wait(
            [&](const boost::system::error_code&)
            {
                entry.view.directory_awaited = false;
                desk = entry.upstream("u1", "desk");
                desk->scripts = {answer(200, "found")};
            });
        CHECK(holds(entry.ask(request("GET", "/lookup/1")), "found"));
    }
    SECTION("and is refused once it has come without one")
    {
        const time_point began = uptime();
        later.async_wait(
            [&](const boost::system::error_code&)
            {
                entry.view.directory_awaited = false;
                entry.requests->tick();
            });
        CHECK(holds(entry.ask(request("GET", "/lookup/1")), "HTTP/1.1 503"));
        CHECK(uptime() - began < 500ms);
    }
}

TEST_CASE("an order is not sent twice")
{
    world entry;
    const auto one = entry.upstream("u1", "desk");
    const auto two = entry.upstream("u2", "desk");

    SECTION("when its connection is reset")
    {
        one->scripts = two->scripts = {"<reset>"};
        CHECK(holds(entry.ask(request("POST", "/order/1")), "HTTP/1.1 502"));
        CHECK(one->requests.size() + two->requests.size() == 1);
    }
    SECTION("when its answer is cut short")
    {
        one->scripts =
            two->scripts = {"HTTP/1.1 200 X\r\nSigned: yes\r\nContent-Length: "
                            "9\r\n\r\nhalf<cut>"};
        CHECK(holds(entry.ask(request("POST", "/order/1")), "HTTP/1.1 502"));
        CHECK(one->requests.size() + two->requests.size() == 1);
    }
    SECTION("when an answer bears no signature")
    {
        one->scripts =
            two->scripts = {"HTTP/1.1 200 X\r\nContent-Length: 2\r\n\r\nok"};
        CHECK(holds(entry.ask(request("POST", "/order/1")), "HTTP/1.1 502"));
        CHECK(one->requests.size() + two->requests.size() == 1);
    }
    SECTION("but goes on to another that did not refuse it")
    {
        const std::string full =
            "HTTP/1.1 503 X\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n";
        one->scripts = {full, answer(200, "one")};
        two->scripts = {full, answer(200, "two")};
        const std::string got = entry.ask(request("POST", "/order/1"));
        // Both refuse their first request.
        CHECK(holds(got, "HTTP/1.1 503"));
        CHECK(holds(got, "Retry-After"));
        CHECK(one->requests.size() + two->requests.size() == 2);
    }
}

TEST_CASE("a lookup is sent again when its first upstream fails")
{
    world entry;
    const auto one = entry.upstream("u1", "desk");
    const auto two = entry.upstream("u2", "desk");
    one->scripts = two->scripts = {"<reset>", answer(200, "found")};
    SECTION("once, since the route allows two")
    {
        CHECK(holds(entry.ask(request("GET", "/lookup/1")), "HTTP/1.1 502"));
        CHECK(one->requests.size() == 1);
        CHECK(two->requests.size() == 1);
    }
    SECTION("and its answer is passed on")
    {
        (one->scripts) = {answer(200, "found")};
        (two->scripts) = {answer(200, "found")};
        CHECK(holds(entry.ask(request("GET", "/lookup/1")), "found"));
    }
}

TEST_CASE("an answer to an earlier request is passed over")
{
    world entry;
    const auto desk = entry.upstream("u1", "desk");
    desk->scripts = {answer(200, "stray", 7) + answer(200, "mine", 1)};
    const std::string got = entry.ask(request("POST", "/order/1"));
    CHECK(holds(got, "mine"));
    CHECK_FALSE(holds(got, "stray"));
    CHECK(entry.requests->connections().stray_answers == 1);
}

TEST_CASE("bytes after a whole answer end their connection")
{
    world entry;
    const auto desk = entry.upstream("u1", "desk");
    desk->scripts = {answer(200, "one") + "more", answer(200, "two", 2)};
    CHECK(holds(entry.ask(request("POST", "/order/1")), "one"));
    CHECK(holds(entry.ask(request("POST", "/order/2", 2)), "two"));
    CHECK(desk->connections == 2);
}

TEST_CASE("an answer without a length ends with its connection")
{
    world entry;
    const auto desk = entry.upstream("u1", "desk");
    SECTION("whole if it is closed")
    {
        desk->scripts = {"HTTP/1.1 200 X\r\nSigned: 1\r\n\r\nall of it<cut>"};
        CHECK(holds(entry.ask(request("POST", "/order/1")), "all of it"));
    }
    SECTION("not if it is reset")
    {
        desk->scripts = {"HTTP/1.1 200 X\r\nSigned: 1\r\n\r\nhalf of<reset>"};
        CHECK(holds(entry.ask(request("POST", "/order/1")), "HTTP/1.1 502"));
    }
}

TEST_CASE("a stream that breaks goes on at another upstream")
{
    world entry;
    const auto one = entry.upstream("u1", "llm");
    const auto two = entry.upstream("u2", "llm");
    // Both are idle, so that the first by id is asked first.
    one->scripts = {
        stream_head() + event(1) + event(2) + "9\r\nid: 3\nda<cut>"};
    two->scripts = {stream_head() + event(3) + event(4) + "0\r\n\r\n"};

    SECTION("after the last event that was passed on whole")
    {
        const std::string got = entry.ask(request("POST", "/chat/1"));
        REQUIRE(two->requests.size() == 1);
        CHECK_FALSE(holds(one->requests.at(0), "Resume"));
        CHECK(holds(two->requests[0], "Resume: 2\r\n"));
        std::string joined;
        for (int id = 1; id <= 4; ++id)
            joined += "id: " + std::to_string(id) + "\ndata: x\n\n";
        answer_parser parser;
        parser.eager(true);
        std::string bytes = got;
        boost::beast::error_code error;
        REQUIRE(feed(parser, bytes, error) == parse_outcome::done);
        CHECK(parser.body == joined);
    }
    SECTION("and one that breaks again is cut, not ended")
    {
        two->scripts = {stream_head() + event(3) + "9\r\nid: 4\nda<cut>"};
        const std::string got = entry.ask(request("POST", "/chat/1"));
        CHECK(holds(got, "id: 3"));
        CHECK_FALSE(holds(got, "id: 4"));
        CHECK(holds(got, "<closed>"));
        CHECK_FALSE(holds(got, "0\r\n\r\n"));
    }
}

TEST_CASE("an entry that drains is not quiet before its answers are taken")
{
    world entry;
    const auto desk = entry.upstream("u1", "desk");
    // More than the kernel takes at once.
    const std::string large(std::size_t{3} << 20, 'x');
    desk->scripts = {answer(200, large)};
    entry.callers->close_after_answers();
    boost::asio::ip::tcp::socket caller(entry.loop);
    caller.connect({boost::asio::ip::address_v4::loopback(), entry.port});
    boost::asio::write(
        caller, boost::asio::buffer(request("POST", "/order/1")));
    REQUIRE(entry.run_until(
        [&] { return entry.requests->counters().answered == 1; }));
    CHECK(entry.requests->under_way() == 0);
    CHECK_FALSE(entry.callers->quiet());
    std::string got;
    std::array<char, 65536> chunk{};
    std::function<void()> read = [&]
    {
        caller.async_read_some(
            boost::asio::buffer(chunk),
            [&](const boost::system::error_code& error, std::size_t size)
            {
                got.append(chunk.data(), size);
                if (!error)
                    return read();
                boost::system::error_code ignored;
                caller.close(ignored);
            });
    };
    read();
    CHECK(entry.run_until([&] { return entry.callers->quiet(); }));
    CHECK(got.size() > large.size());
}

TEST_CASE("a caller that leaves takes its request along")
{
    world entry;
    const auto desk = entry.upstream("u1", "desk");
    desk->scripts = {"<wait>"};
    entry.ask(request("POST", "/order/1"), 200ms);
    CHECK(entry.run_until([&] { return entry.requests->under_way() == 0; }));
    CHECK(entry.requests->counters().callers_left == 1);
}

TEST_CASE("a request that outlasts its time gets a final answer then")
{
    world entry;
    const auto desk = entry.upstream("u1", "desk");
    desk->scripts = {"<wait>"};
    const time_point began = uptime();
    std::string text = request("POST", "/order/1");
    text.insert(text.find("Attempt"), "Patience-Ms: 200\r\n");
    CHECK(holds(entry.ask(text), "HTTP/1.1 504"));
    CHECK(uptime() - began < 700ms);
}
