// Guards against an answer that its upstream broke off, in the head or in the
// body, and that reaches the caller framed as if it were whole.
#include "base/clock.hpp"
#include "gateway/relay_fixture.hpp"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include <array>

using namespace bergamotusher;
using namespace bergamotusher::gateway;
using namespace relay_fixture;

namespace
{

std::size_t count(const std::string& text, const std::string& part)
{
    std::size_t found = 0;
    for (std::size_t at = text.find(part); at != std::string::npos;
         at = text.find(part, at + part.size()))
        ++found;
    return found;
}

const std::string head = "HTTP/1.1 200 X\r\nSigned: yes\r\nAttempt: 2\r\n";
const std::string interim =
    "HTTP/1.1 100 Continue\r\n\r\n"
    "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"
    "HTTP/1.1 103 Early Hints\r\nAttempt: 2\r\nLink: y\r\n\r\n";

/// Sends `text` and returns what comes until the entry closes the connection.
std::string send_until_closed(
    entry_fixture& entry, const std::string& text, duration limit = 4s)
{
    boost::asio::ip::tcp::socket socket(entry.loop);
    socket.connect({boost::asio::ip::address_v4::loopback(), entry.port});
    boost::asio::async_write(
        socket,
        boost::asio::buffer(text),
        [](boost::system::error_code, std::size_t) {});
    std::string received;
    std::array<char, 4096> chunk{};
    bool closed = false;
    std::function<void()> read = [&]
    {
        socket.async_read_some(
            boost::asio::buffer(chunk),
            [&](boost::system::error_code error, std::size_t size)
            {
                received.append(chunk.data(), size);
                closed = error.failed();
                if (!closed)
                    read();
            });
    };
    read();
    const time_point end = uptime() + limit;
    while (!closed && uptime() < end)
    {
        entry.loop.restart();
        entry.loop.run_one_for(std::chrono::milliseconds(2));
    }
    CHECK(closed);
    socket.close();
    entry.loop.restart();
    entry.loop.poll();
    return received;
}

/// A request after whose answer the caller's connection is closed.
std::string closing_request(
    const std::string& method, const std::string& path, int attempt = 1)
{
    std::string text = request(method, path, attempt);
    return text.insert(text.find("Attempt"), "Connection: close\r\n");
}

/// An entry before two upstreams of `service`; the second one appears once the
/// first one has received request 2. Before that, request 1 may leave its
/// connection for use again.
struct cut_fixture
{
    entry_fixture entry;
    std::unique_ptr<scripted_upstream> first;
    std::unique_ptr<scripted_upstream> second;

    cut_fixture(
        const std::string& service,
        const std::string& path,
        bool reuses_connection,
        const std::string& script)
    {
        first = entry.add_upstream("u1", service);
        if (reuses_connection)
        {
            first->scripts = {
                service == "llm" ? stream_head() + event(1) + "0\r\n\r\n"
                                 : answer(200, "first")};
            send_until_closed(entry, closing_request("POST", path + "1"));
            REQUIRE(first->requests.size() == 1);
        }
        first->scripts = {script};
        first->on_request = [this, service]
        {
            if (second)
                return;
            REQUIRE(first->connections == 1);
            second = entry.add_upstream("u2", service);
            second->on_request = [this, service]
            {
                if (service != "llm")
                {
                    second->scripts = {answer(200, "of the second", 2)};
                    return;
                }
                std::string rest = stream_head(2);
                for (int id = 1; id <= 3; ++id)
                    if (id > resumed_after())
                        rest += event(id);
                second->scripts = {rest + "0\r\n\r\n"};
            };
        };
    }

    int resumed_after() const
    {
        const std::string& sent = second->requests.back();
        const std::size_t at = sent.find("Resume: ");
        return at == std::string::npos ? 0 : sent[at + 8] - '0';
    }
};

/// An answer, and how many of its bytes a closed connection may follow without
/// it being a whole one.
struct cut_answer
{
    std::string bytes;
    std::size_t incomplete;
};

std::vector<cut_answer> answers_to_cut()
{
    std::vector<cut_answer> all;
    for (const std::string& rest :
         {std::string("Content-Length: 12\r\n\r\nhello, world"),
          std::string("Transfer-Encoding: chunked\r\n\r\n"
                      "10;a=b\r\n0123456789abcdef\r\n2\r\nxy\r\n0\r\n"
                      "T: x\r\n\r\n")})
        all.push_back({head + rest, (head + rest).size()});
    all.push_back({interim + answer(200, "hello", 2), 0});
    all.back().incomplete = all.back().bytes.size();
    const std::string bodiless =
        "HTTP/1.1 204 X\r\nSigned: yes\r\nAttempt: 2\r\n\r\n";
    all.push_back({bodiless, bodiless.size()});
    all.push_back({head + "\r\nends with it", head.size() + 2});
    return all;
}

/// Calls `check` with the script of each answer cut at each byte at which it is
/// incomplete.
template<class Check>
void for_each_cut(const std::string& how, Check check)
{
    for (const cut_answer& each : answers_to_cut())
    {
        // An answer without a length is incomplete after a reset at any byte.
        const std::size_t end =
            how == "<reset>" ? each.bytes.size() : each.incomplete;
        for (std::size_t size = 0; size < end; ++size)
        {
            const std::string script = each.bytes.substr(0, size) + how;
            CAPTURE(script);
            check(script);
        }
    }
}

} // namespace

TEST_CASE(
    "an order whose answer is cut at any byte is neither whole nor repeated")
{
    const bool reused = GENERATE(false, true);
    const std::string how = GENERATE("<cut>", "<reset>");
    CAPTURE(reused, how);
    for_each_cut(
        how,
        [&](const std::string& script)
        {
            cut_fixture cut("desk", "/order/", reused, script);
            const std::string received = send_until_closed(
                cut.entry, closing_request("POST", "/order/2", 2));
            CHECK(received.substr(0, 12) == "HTTP/1.1 502");
            CHECK(cut.first->requests.size() == (reused ? 2 : 1));
            REQUIRE(cut.second);
            CHECK(cut.second->requests.empty());
        });
}

TEST_CASE("a repeatable request whose answer is cut at any byte is sent again")
{
    const bool reused = GENERATE(false, true);
    const std::string how = GENERATE("<cut>", "<reset>");
    CAPTURE(reused, how);
    std::string whole = answer(200, "of the second", 2);
    whole.insert(whole.find("\r\n\r\n") + 2, "Connection: close\r\n");
    for_each_cut(
        how,
        [&](const std::string& script)
        {
            cut_fixture cut("desk", "/lookup/", reused, script);
            const std::string received = send_until_closed(
                cut.entry, closing_request("POST", "/lookup/2", 2));
            CHECK(received == whole);
            CHECK(cut.second->requests.size() == 1);
        });
}

TEST_CASE("a stream that is cut at any byte goes on after its last whole event")
{
    const bool reused = GENERATE(false, true);
    const bool resumable = GENERATE(true, false);
    const std::string how = GENERATE("<cut>", "<reset>");
    CAPTURE(reused, resumable, how);
    const std::string events = event(1) + event(2) + event(3);
    const std::string whole = stream_head(2) + events + "0\r\n\r\n";
    for (std::size_t size = 0; size < whole.size(); ++size)
    {
        const std::string script = whole.substr(0, size);
        CAPTURE(script);
        cut_fixture cut("llm", "/chat/", reused, script + how);
        auto site = cut.entry.view.site->value;
        for (site::route& route : site.routes)
            route.resumable = resumable;
        cut.entry.view.site = site::index_configuration(site);
        const std::string received =
            send_until_closed(cut.entry, closing_request("POST", "/chat/2", 2));
        const int sent = static_cast<int>(count(script, "data: x\n\n"));
        for (int id = 1; id <= 3; ++id)
            CHECK(
                count(
                    received, "id: " + std::to_string(id) + "\ndata: x\n\n") ==
                (resumable || id <= sent ? 1 : 0));
        REQUIRE(cut.second);
        CHECK(cut.second->requests.size() == (resumable ? 1 : 0));
        const bool ends_as_whole = contains(received, "\r\n0\r\n\r\n");
        CHECK(ends_as_whole == resumable);
        if (resumable)
            CHECK(cut.resumed_after() == sent);
        else if (sent == 0)
            CHECK(received.substr(0, 12) == "HTTP/1.1 502");
        else
            CHECK(received.substr(0, 12) == "HTTP/1.1 200");
    }
}

TEST_CASE("an answer with contradictory lengths is not passed on")
{
    entry_fixture entry;
    const auto upstream = entry.add_upstream("u1", "desk");
    const std::string lengths = GENERATE(
        "Content-Length: 2\r\nContent-Length: 5\r\n",
        "Content-Length: 2, 5\r\n",
        "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n",
        "Transfer-Encoding: chunked\r\nContent-Length: 2\r\n",
        "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
        "Content-Length: -2\r\n",
        "Content-Length: +2\r\n",
        "Content-Length: 2x\r\n",
        "Content-Length:\r\n",
        "Content-Length: 99999999999999999999999\r\n");
    CAPTURE(lengths);
    upstream->scripts = {
        "HTTP/1.1 200 X\r\nSigned: yes\r\nAttempt: 1\r\n" + lengths +
        "\r\n2\r\nxy\r\n0\r\n\r\n<cut>"};
    const std::string received =
        entry.send_request(request("POST", "/order/1"));
    CHECK(received.substr(0, 12) == "HTTP/1.1 502");
}

// A write that fails takes the error of the reset with it; the read after it
// sees the end of the connection.
TEST_CASE("a reset while the request is written does not end an answer")
{
    namespace asio = boost::asio;
    const bool is_reset = GENERATE(true, false);
    CAPTURE(is_reset);
    entry_fixture entry;
    auto site = entry.view.site->value;
    site.limits.body_bytes = 64 << 20;
    entry.view.site = site::index_configuration(site);
    asio::ip::tcp::acceptor acceptor(
        entry.loop, {asio::ip::address_v4::loopback(), 0});
    site::upstream value;
    value.id = {"u1"};
    value.service = {"desk"};
    value.address =
        "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
    value.slots = 8;
    value.sequence = 1;
    merge(entry.view.directory, value, uptime());
    entry.requests->on_upstreams_changed();
    // The upstream reads nothing, so that the rest of the request waits.
    asio::ip::tcp::socket upstream(entry.loop);
    acceptor.async_accept(
        upstream,
        [&](boost::system::error_code error)
        {
            REQUIRE_FALSE(error);
            asio::write(
                upstream,
                asio::buffer(std::string(
                    "HTTP/1.1 200 X\r\nSigned: yes\r\nAttempt: 1\r\n\r\n"
                    "part")));
        });
    asio::steady_timer timer(entry.loop, 1s);
    timer.async_wait(
        [&](boost::system::error_code)
        {
            REQUIRE(entry.requests->buffered_bytes() == 4);
            if (!is_reset)
                return upstream.shutdown(asio::ip::tcp::socket::shutdown_send);
            upstream.set_option(asio::socket_base::linger(true, 0));
            upstream.close();
        });
    std::string text = closing_request("POST", "/order/1");
    const std::size_t bytes = 24 << 20;
    const std::string length = "Content-Length: ";
    text.replace(
        text.find(length), length.size() + 1, length + std::to_string(bytes));
    const std::string received =
        send_until_closed(entry, text + std::string(bytes, 'x'));
    CHECK(
        received.substr(0, 12) == (is_reset ? "HTTP/1.1 502" : "HTTP/1.1 200"));
}

TEST_CASE("an answer without a body is not followed by a chunk's bytes")
{
    entry_fixture entry;
    const auto upstream = entry.add_upstream("u1", "llm");
    const std::string fields = "Signed: yes\r\nAttempt: 1\r\n";
    std::string received;
    SECTION("after 204")
    {
        upstream->scripts = {
            "HTTP/1.1 204 X\r\n" + fields + "Content-Length: 0\r\n\r\n"};
        received = send_until_closed(entry, closing_request("POST", "/chat/1"));
    }
    SECTION("after 204 without a length")
    {
        upstream->scripts = {"HTTP/1.1 204 X\r\n" + fields + "\r\n"};
        received = send_until_closed(entry, closing_request("POST", "/chat/1"));
    }
    SECTION("to HEAD")
    {
        upstream->scripts = {
            "HTTP/1.1 200 X\r\n" + fields + "Content-Length: 5\r\n\r\n"};
        received = send_until_closed(entry, closing_request("HEAD", "/chat/1"));
    }
    CHECK(received.substr(0, 10) == "HTTP/1.1 2");
    const std::size_t end = received.find("\r\n\r\n");
    REQUIRE(end != std::string::npos);
    CHECK(received.size() == end + 4);
}

TEST_CASE("an answer in a transfer coding other than chunked is not passed on")
{
    entry_fixture entry;
    const auto upstream = entry.add_upstream("u1", "desk");
    const std::string coding =
        GENERATE("gzip", "chunked, gzip", "gzip, chunked", "chun");
    CAPTURE(coding);
    upstream->scripts = {
        "HTTP/1.1 200 X\r\nSigned: yes\r\nAttempt: 1\r\nTransfer-Encoding: " +
        coding + "\r\n\r\n2\r\nxy\r\n0\r\n\r\n<cut>"};
    const std::string received =
        entry.send_request(request("POST", "/order/1"));
    CHECK(received.substr(0, 12) == "HTTP/1.1 502");
}

// An upstream breaks off a late copy and sends the answer on the same
// connection.
TEST_CASE("a head that goes on inside another head's field is no answer")
{
    const std::string refusal =
        "HTTP/1.1 503 X\r\nNot-Run: yes\r\nAttempt: 1\r\n"
        "Content-Length: 0\r\n\r\n";
    const bool copy_is_refusal = GENERATE(true, false);
    const std::string copy = copy_is_refusal ? refusal : answer(200, "first");
    const std::string own = answer(copy_is_refusal ? 200 : 500, "mine!", 2);
    for (std::size_t size = 0; size <= copy.size(); ++size)
    {
        CAPTURE(copy.substr(0, size));
        entry_fixture entry;
        const auto upstream = entry.add_upstream("u1", "desk");
        upstream->scripts = {
            answer(200, "first"), copy.substr(0, size) + own + "<cut>"};
        send_until_closed(entry, closing_request("POST", "/order/1"));
        upstream->on_request = [&]
        {
            REQUIRE(upstream->connections == 1);
        };
        const std::string received =
            send_until_closed(entry, closing_request("POST", "/order/2", 2));
        const std::string status = received.substr(0, 12);
        const bool is_own =
            status == own.substr(0, 12) && contains(received, "mine!");
        CHECK((is_own || status == "HTTP/1.1 502"));
        CHECK(upstream->requests.size() == 2);
    }
}

TEST_CASE("a late copy of an answer does not reach the next caller")
{
    entry_fixture entry;
    const auto upstream = entry.add_upstream("u1", "desk");
    const auto without_id = [](std::string text)
    {
        const std::size_t at = text.find("Attempt: ");
        return text.erase(at, text.find("\r\n", at) + 2 - at);
    };
    std::string first = closing_request("POST", "/lookup/1");
    std::string second = closing_request("POST", "/lookup/2", 2);
    std::string copy = answer(200, "first");
    std::string own = answer(200, "mine", 2);
    std::string body = "mine";

    SECTION("between requests that have ids") {}
    SECTION("between requests that have none")
    {
        first = without_id(first);
        second = without_id(second);
        copy = without_id(copy);
        own = without_id(own);
    }
    SECTION("between requests that have the same id")
    {
        second = closing_request("POST", "/lookup/2");
        own = answer(200, "mine");
    }
    SECTION("where the next one is HEAD")
    {
        second = closing_request("HEAD", "/lookup/2", 2);
        own =
            "HTTP/1.1 200 X\r\nSigned: yes\r\nAttempt: 2\r\nOwn: mine\r\n\r\n";
        body = "Own: mine";
    }
    SECTION("where the earlier one is HEAD")
    {
        first = closing_request("HEAD", "/lookup/1");
        copy = "HTTP/1.1 200 X\r\nSigned: yes\r\nAttempt: 1\r\n"
               "Content-Length: 5\r\n\r\n";
    }
    upstream->scripts = {copy, copy + own + "<cut>"};
    // The copy comes on the connection of the request that it answers.
    upstream->on_request = [&]
    {
        if (upstream->connections == 2)
            upstream->scripts = {own};
    };
    send_until_closed(entry, first);
    REQUIRE(upstream->requests.size() == 1);
    const std::string received = send_until_closed(entry, second);
    REQUIRE(upstream->requests.size() == 2);
    CHECK(
        (contains(received, body) || received.substr(0, 12) == "HTTP/1.1 502"));
    CHECK_FALSE(contains(received, "first"));
}

// The next upstream goes on after the last id, so it sends that event again.
TEST_CASE("a stream does not go on after an event without an id")
{
    entry_fixture entry;
    const auto first = entry.add_upstream("u1", "llm");
    const auto second = entry.add_upstream("u2", "llm");
    std::string last;
    bool resumes = false;
    SECTION("with data")
    {
        last = "data: y\n\n";
    }
    SECTION("with a type and data")
    {
        last = "event: y\r\ndata: y\r\n\r\n";
    }
    SECTION("but after one without data, which clients ignore")
    {
        last = "event: y\n\n";
        resumes = true;
    }
    SECTION("but after a comment")
    {
        last = ": y\n\n";
        resumes = true;
    }
    std::string chunk;
    append_chunk(chunk, last);
    first->scripts = {stream_head() + event(1) + chunk + "<cut>"};
    second->scripts = {stream_head() + chunk + event(2) + "0\r\n\r\n"};
    const std::string received =
        send_until_closed(entry, closing_request("POST", "/chat/1"));
    REQUIRE(first->requests.size() == 1);
    CHECK(second->requests.size() == (resumes ? 1 : 0));
    CHECK(contains(received, "id: 1\n"));
    CHECK(contains(received, "id: 2\n") == resumes);
    CHECK(contains(received, "\r\n0\r\n\r\n") == resumes);
}
