// Guards against input that breaks the server: each request beyond a limit gets
// an error response or a closed connection, and later requests still succeed.
#include "daemon/http_server.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include <thread>
#include <unistd.h>

using namespace bergamotusher;
namespace asio = boost::asio;
using tcp = asio::ip::tcp;

namespace
{

constexpr std::uint16_t port = 18'080;

// A server on its own thread that answers "good" to each valid request, and
// sends more than its limit of unsent bytes for "/flood".
struct running_server
{
    running_server()
    {
        http_limits limits;
        limits.header_bytes = 1024;
        limits.body_bytes = 2048;
        limits.receive_timeout = 200ms;
        limits.idle_timeout = 400ms;
        limits.unsent_bytes = 4096;
        limits.connections = 4;
        // A loopback address derived from the process id, so that test
        // programs that run at the same time do not share one.
        address.ip = "127.9." + std::to_string(::getpid() / 250 % 250) + "." +
                     std::to_string(1 + ::getpid() % 250);
        address.port = port;
        server = std::make_unique<http_server>(
            loop,
            address,
            limits,
            [this](
                http_request&& request,
                const std::shared_ptr<http_exchange>& exchange)
            { handle(request, *exchange); });
        thread = std::thread([this] { loop.run(); });
    }
    ~running_server()
    {
        loop.stop();
        thread.join();
    }

    void handle(const http_request& request, http_exchange& exchange)
    {
        if (request.path() != "/flood")
            return exchange.answer(200, {}, "good");
        exchange.begin(200, {});
        for (int i = 0; i < 100; ++i)
            exchange.write(std::string(1024, 'x'));
    }

    tcp::socket connect()
    {
        tcp::socket socket(client_loop);
        socket.connect({asio::ip::make_address(address.ip), address.port});
        return socket;
    }

    // Sends `text` and reads until the server closes.
    std::string exchange(const std::string& text)
    {
        tcp::socket socket = connect();
        asio::write(socket, asio::buffer(text));
        return read_all(socket);
    }

    static std::string read_all(tcp::socket& socket)
    {
        std::string answer;
        boost::system::error_code error;
        asio::read(socket, asio::dynamic_buffer(answer), error);
        return answer;
    }

    endpoint address;
    asio::io_context loop;
    asio::io_context client_loop;
    std::unique_ptr<http_server> server;
    std::thread thread;
};

const std::string valid_request =
    "GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";

bool contains(const std::string& text, const std::string& part)
{
    return text.find(part) != std::string::npos;
}

} // namespace

TEST_CASE("a server rejects requests beyond its limits and continues to serve")
{
    running_server running;
    REQUIRE(contains(running.exchange(valid_request), "good"));

    SECTION("header larger than the limit")
    {
        const auto answer = running.exchange(
            "GET / HTTP/1.1\r\nX: " + std::string(2000, 'x') + "\r\n\r\n");
        CHECK(contains(answer, "431"));
        CHECK(contains(answer, "header_too_large"));
    }
    SECTION("body larger than the limit")
    {
        const auto answer =
            running.exchange("POST / HTTP/1.1\r\nContent-Length: 5000\r\n\r\n");
        CHECK(contains(answer, "413"));
        CHECK(contains(answer, "body_too_large"));
    }
    SECTION("chunk header without end")
    {
        const auto answer = running.exchange(
            "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n4;a=" +
            std::string(100'000, 'x'));
        CHECK(contains(answer, "400"));
        CHECK(contains(answer, "malformed_request"));
    }
    SECTION("bytes that are not HTTP")
    {
        const auto answer = running.exchange("\x16\x03\x01 hello\r\n\r\n");
        CHECK(contains(answer, "400"));
        CHECK(contains(answer, "not_run"));
    }
    SECTION("sender that stops in the middle of a request")
    {
        const auto answer = running.exchange(
            "POST / HTTP/1.1\r\nContent-Length: 10\r\n\r\nabc");
        CHECK(contains(answer, "408"));
        CHECK(contains(answer, "slow_sender"));
    }
    SECTION("connection without a request is closed")
    {
        tcp::socket socket = running.connect();
        running.read_all(socket);
        CHECK(running.server->counters().malformed == 0);
    }
    SECTION("connection of a client that does not read is closed")
    {
        const auto answer =
            running.exchange("GET /flood HTTP/1.1\r\nHost: x\r\n\r\n");
        CHECK(running.server->counters().slow_readers == 1);
        CHECK(!contains(answer, "\r\n0\r\n"));
    }
    SECTION("more connections than the limit")
    {
        std::vector<tcp::socket> open;
        open.reserve(4);
        for (int i = 0; i < 4; ++i)
            open.push_back(running.connect());
        tcp::socket excess_connection = running.connect();
        CHECK(contains(
            running.read_all(excess_connection), "too_many_connections"));
        open.clear();
        while (running.server->counters().open > 0)
            std::this_thread::yield();
    }
    CHECK(contains(running.exchange(valid_request), "good"));
}
