// What a history holds of an answer that ends early. One that is cut after its
// head, and counted as a success, differs from the whole answer to the same key
// and looks like a fault of the system.
#include "daemon/http_server.hpp"
#include "harness/caller.hpp"
#include "harness/outcome.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include <thread>
#include <unistd.h>

using namespace bergamotusher::tests;
namespace asio = boost::asio;
using tcp = asio::ip::tcp;
using outcome = operation_outcome;

namespace
{

client_response fetch(const std::string& address)
{
    client_request request;
    request.address = address;
    return send_request(request);
}

// Sends the scripted bytes to one client, then closes the connection.
client_response receive_script(const std::string& script)
{
    asio::io_context loop;
    tcp::acceptor acceptor(
        loop, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
    const std::string address =
        "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
    std::thread server(
        [&]
        {
            tcp::socket socket(loop);
            acceptor.accept(socket);
            std::string request;
            asio::read_until(socket, asio::dynamic_buffer(request), "\r\n\r\n");
            asio::write(socket, asio::buffer(script));
        });
    client_response answer = fetch(address);
    server.join();
    return answer;
}

std::string head(const std::string& status, const std::string& framing)
{
    return "HTTP/1.1 " + status + "\r\n" + framing + "\r\n\r\n";
}

void check_unknown(const client_response& answer)
{
    CHECK_FALSE(answer.complete);
    CHECK((order_outcome(answer) == outcome::unknown));
    CHECK((put_outcome(answer) == outcome::unknown));
}

// Port of the server under test, on a loopback address of this process.
constexpr std::uint16_t server_port = 18'081;

// Answers one order with our server, which closes the connection right after it
// was given the answer. The head of an answer is written before its body.
client_response receive_aborted_answer(bool chunked)
{
    const bergamotusher::endpoint address{
        "127.10." + std::to_string(::getpid() / 250 % 250) + "." +
            std::to_string(1 + ::getpid() % 250),
        server_port};
    asio::io_context loop;
    bergamotusher::http_server server(
        loop,
        address,
        {},
        [chunked](
            bergamotusher::http_request&&,
            const std::shared_ptr<bergamotusher::http_exchange>& exchange)
        {
            if (!chunked)
                exchange->answer(201, {}, R"({"order":1})");
            else
            {
                exchange->begin(201, {});
                exchange->write(R"({"order":1})");
            }
            exchange->abort();
        });
    std::thread thread([&loop] { loop.run(); });
    client_response answer = fetch(to_string(address));
    loop.stop();
    thread.join();
    return answer;
}

} // namespace

TEST_CASE("an answer that ends early is recorded as unknown, not as a success")
{
    const std::string created = "201 Created";
    const std::string body = R"({"order":1})";
    const std::string sized = "Content-Length: 11";
    const std::string chunked = "Transfer-Encoding: chunked";

    SECTION("cut in its head")
    {
        check_unknown(receive_script("HTTP/1.1 201 Created\r\nContent-"));
    }
    SECTION("cut after its head")
    {
        check_unknown(receive_script(head(created, sized)));
        check_unknown(receive_script(head("200 OK", sized)));
        check_unknown(receive_script(head("412 Precondition Failed", sized)));
    }
    SECTION("cut in its body")
    {
        check_unknown(receive_script(head(created, sized) + R"({"ord)"));
    }
    SECTION("cut before its last chunk")
    {
        check_unknown(
            receive_script(head(created, chunked) + "b\r\n" + body + "\r\n"));
    }
    SECTION("cut by our server between its head and its body")
    {
        const client_response answer = receive_aborted_answer(false);
        CHECK(answer.status == 201);
        CHECK(answer.body.empty());
        check_unknown(answer);
    }
    SECTION("cut by our server before its last chunk")
    {
        const client_response answer = receive_aborted_answer(true);
        CHECK(answer.status == 201);
        check_unknown(answer);
    }
}

TEST_CASE("an answer that was received whole is recorded as what it says")
{
    const std::string body = R"({"order":1})";

    SECTION("closed after its body")
    {
        const client_response answer =
            receive_script(head("201 Created", "Content-Length: 11") + body);
        CHECK(answer.complete);
        CHECK(answer.body == body);
        CHECK((order_outcome(answer) == outcome::done));
    }
    SECTION("closed after its last chunk")
    {
        const client_response answer = receive_script(
            head("201 Created", "Transfer-Encoding: chunked") + "b\r\n" + body +
            "\r\n0\r\n\r\n");
        CHECK(answer.complete);
        CHECK(answer.body == body);
        CHECK((order_outcome(answer) == outcome::done));
    }
    // HTTP frames this body by the close, so a cut would look whole; only a
    // system that never answers so can be checked for equal answers.
    SECTION("without a length, ended by the close")
    {
        const client_response answer =
            receive_script(head("201 Created", "Connection: close") + body);
        CHECK(answer.complete);
        CHECK((order_outcome(answer) == outcome::done));
    }
    SECTION("an empty body")
    {
        const client_response answer =
            receive_script(head("200 OK", "Content-Length: 0"));
        CHECK(answer.complete);
        CHECK((put_outcome(answer) == outcome::done));
    }
    SECTION("a refusal")
    {
        const client_response put = receive_script(
            head("412 Precondition Failed", "Content-Length: 0"));
        CHECK((put_outcome(put) == outcome::refused));
        const client_response order = receive_script(
            head("503 Service Unavailable", "Content-Length: 17") +
            R"({"run":"not_run"})");
        CHECK((order_outcome(order) == outcome::refused));
    }
}
