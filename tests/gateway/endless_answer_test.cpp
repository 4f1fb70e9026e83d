// Guards against upstreams that send bytes without end where an answer, a line
// or an event should end: the entry buffered all of them until the request's
// timeout, at hundreds of requests more than its memory.
#include "base/clock.hpp"
#include "gateway/relay_fixture.hpp"

#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include <algorithm>
#include <utility>

using namespace bergamotusher;
using namespace bergamotusher::gateway;
using namespace relay_fixture;

namespace
{

std::string repeated(const std::string& text, std::size_t bytes)
{
    std::string out;
    out.reserve(bytes + text.size());
    while (out.size() < bytes)
        out += text;
    return out;
}

/// More than an entry may buffer for one request.
constexpr std::size_t endless = std::size_t{12} << 20;

/// Sends a request with a timeout of several seconds and expects an answer long
/// before that.
std::string send_and_expect_end(entry_fixture& entry, const std::string& path)
{
    std::string text = request("POST", path);
    text.insert(text.find("Attempt"), "Patience-Ms: 6000\r\n");
    const time_point began = uptime();
    std::string received = entry.send_request(text, 8s);
    CHECK(uptime() - began < 3s);
    CHECK(entry.run_until([&] { return entry.requests->in_flight() == 0; }));
    CHECK(entry.requests->buffered_bytes() == 0);
    return received;
}

} // namespace

TEST_CASE("an answer to an order that does not end is given up")
{
    entry_fixture entry;
    const auto upstream = entry.add_upstream("u1", "desk");
    const std::string head = "HTTP/1.1 200 X\r\nSigned: yes\r\nAttempt: 1\r\n";

    SECTION("a header line without end")
    {
        upstream->scripts = {head + "A: " + repeated("x", endless) + "<wait>"};
    }
    SECTION("header lines without end")
    {
        upstream->scripts = {head + repeated("A: x\r\n", endless) + "<wait>"};
    }
    SECTION("a status line without end")
    {
        upstream->scripts = {
            "HTTP/1.1 200 " + repeated("x", endless) + "<wait>"};
    }
    SECTION("a body without a length")
    {
        upstream->scripts = {head + "\r\n" + repeated("x", endless) + "<wait>"};
    }
    SECTION("chunks without a last one")
    {
        upstream->scripts = {
            head + "Transfer-Encoding: chunked\r\n\r\n" +
            repeated("4\r\nxxxx\r\n", 4 * endless) + "<wait>"};
    }
    SECTION("a chunk size without end")
    {
        upstream->scripts = {
            head + "Transfer-Encoding: chunked\r\n\r\n" +
            repeated("0", endless) + "<wait>"};
    }
    SECTION("a chunk extension without end")
    {
        upstream->scripts = {
            head + "Transfer-Encoding: chunked\r\n\r\n4;a=" +
            repeated("x", endless) + "<wait>"};
    }
    SECTION("trailers without end")
    {
        upstream->scripts = {
            head + "Transfer-Encoding: chunked\r\n\r\n4\r\nxxxx\r\n0\r\n" +
            repeated("A: x\r\n", endless) + "<wait>"};
    }
    SECTION("answers to other requests")
    {
        upstream->scripts = {
            repeated(answer(200, "other", 7), endless) + "<wait>"};
    }
    SECTION("an answer to another request without end")
    {
        upstream->scripts = {
            "HTTP/1.1 200 X\r\nSigned: yes\r\nAttempt: 7\r\n\r\n" +
            repeated("x", endless) + "<wait>"};
    }
    SECTION("interim answers without end")
    {
        upstream->scripts = {
            repeated("HTTP/1.1 102 Processing\r\n\r\n", endless) + "<wait>"};
    }
    SECTION("a header line of an interim answer without end")
    {
        upstream->scripts = {
            "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 103 X\r\nLink: " +
            repeated("x", endless) + "<wait>"};
    }
    SECTION("an unknown transfer coding without end")
    {
        upstream->scripts = {
            head + "Transfer-Encoding: gzip\r\n\r\n" + repeated("x", endless) +
            "<wait>"};
    }
    SECTION("bytes that are no answer")
    {
        upstream->scripts = {repeated("\x01\x02", endless) + "<wait>"};
    }
    const std::string received = send_and_expect_end(entry, "/order/1");
    // The order may have run.
    CHECK(contains(received, "HTTP/1.1 502"));
    CHECK(upstream->requests.size() == 1);
    CHECK(entry.view.upstreams.at({"u1"})->failures > 0);
}

TEST_CASE("a stream that does not end its event is cut")
{
    entry_fixture entry;
    const auto upstream = entry.add_upstream("u1", "llm");
    std::string chunk;
    append_chunk(chunk, repeated("data: x\n", endless));

    SECTION("before the first event")
    {
        upstream->scripts = {stream_head() + chunk + "<wait>"};
        const std::string received = send_and_expect_end(entry, "/chat/1");
        CHECK(contains(received, "HTTP/1.1 502"));
    }
    SECTION("after events that were forwarded")
    {
        upstream->scripts = {stream_head() + event(1) + chunk + "<wait>"};
        const std::string received = send_and_expect_end(entry, "/chat/1");
        CHECK(contains(received, "id: 1"));
        CHECK(contains(received, "<closed>"));
        CHECK_FALSE(contains(received, "0\r\n\r\n"));
    }
}

TEST_CASE("answers that do not end share a bounded buffer")
{
    entry_fixture entry;
    const auto upstream = entry.add_upstream("u1", "desk");
    const auto chat = entry.add_upstream("u2", "llm");
    constexpr int requests = 40;
    // Each is below the bound of one answer; together they are not.
    const std::string unfinished =
        "HTTP/1.1 200 X\r\nSigned: yes\r\nContent-Length: 99000000\r\n\r\n" +
        repeated("x", 6'700'000) + "<wait>";
    entry.view.directory = {};
    entry.view.upstreams.at({"u1"})->value.slots = 2 * requests;
    for (int i = 0; i < requests; ++i)
        upstream->scripts.push_back(unfinished);
    std::vector<std::unique_ptr<boost::asio::ip::tcp::socket>> callers;
    std::size_t most = 0;
    for (int i = 0; i < requests; ++i)
    {
        auto socket =
            std::make_unique<boost::asio::ip::tcp::socket>(entry.loop);
        socket->connect({boost::asio::ip::address_v4::loopback(), entry.port});
        boost::asio::write(
            *socket, boost::asio::buffer(request("POST", "/order/1", i + 100)));
        callers.push_back(std::move(socket));
        entry.run_until(
            [&]
            {
                most = std::max(most, entry.requests->buffered_bytes());
                return upstream->requests.size() ==
                       static_cast<std::size_t>(i) + 1;
            });
    }
    entry.run_until(
        [&]
        {
            most = std::max(most, entry.requests->buffered_bytes());
            return entry.requests->counters().failed > 20;
        },
        5s);
    CHECK(most <= relay_options{}.buffered_bytes_max);
    CHECK(entry.requests->counters().failed > 20);

    // A sound stream beside them is served, also if its event does not fit into
    // the buffer any more: the answer that has most bytes is given up, not the
    // one that adds the last.
    REQUIRE(entry.run_until(
        [&]
        {
            return entry.requests->counters().failed == requests - 10 &&
                   entry.requests->buffered_bytes() >
                       relay_options{}.buffered_bytes_max - 300'000;
        },
        5s));
    std::string large_event;
    append_chunk(
        large_event, "id: 2\ndata: " + repeated("x", 300'000) + "\n\n");
    chat->scripts = {stream_head() + event(1) + large_event + "0\r\n\r\n"};
    const std::string received = entry.send_request(request("POST", "/chat/1"));
    CHECK(contains(received, "id: 2"));
    CHECK(contains(received, "0\r\n\r\n"));
}
