#include "soak/http.hpp"

#include "settings/settings.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core.hpp>

#include <list>
#include <mutex>
#include <stdexcept>
#include <thread>

namespace soak
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;
using boost_error = boost::system::error_code;

namespace
{

tcp::endpoint to_endpoint(const std::string& address)
{
    const auto parsed = bergamotusher::parse_endpoint(address);
    if (!parsed)
        throw std::runtime_error(
            "address is not of the form IP:PORT: " + address);
    return {asio::ip::make_address(parsed->ip), parsed->port};
}

} // namespace

struct persistent_connection::state
{
    asio::io_context loop;
    beast::tcp_stream stream{loop};
    beast::flat_buffer buffer;
    bool open = false;
};

persistent_connection::persistent_connection(std::string address)
    : address_(std::move(address)), state_(std::make_unique<state>())
{
}

persistent_connection::~persistent_connection() = default;

bool persistent_connection::is_open() const
{
    return state_->open;
}

reply persistent_connection::send(
    const http_request& request, double timeout_seconds)
{
    reply result;
    state& connection = *state_;
    connection.stream.expires_after(
        std::chrono::milliseconds(static_cast<int>(timeout_seconds * 1000)));
    http::response_parser<http::string_body> parser;
    parser.eager(true);
    const auto read = [&]
    {
        http::async_read(
            connection.stream,
            connection.buffer,
            parser,
            [&](boost_error error, std::size_t)
            { connection.open = !error && parser.keep_alive(); });
    };
    const auto write = [&]
    {
        http::async_write(
            connection.stream,
            request,
            [&](boost_error error, std::size_t)
            {
                if (error)
                    connection.open = false;
                // Read even after a failed write: the server may have responded
                // before the connection broke.
                read();
            });
    };
    if (connection.open)
        write();
    else
    {
        connection.stream.close();
        connection.buffer.clear();
        connection.stream.async_connect(
            to_endpoint(address_),
            [&](boost_error error)
            {
                if (!error)
                    write();
            });
    }
    connection.loop.restart();
    connection.loop.run();
    if (parser.is_header_done())
    {
        result.status = static_cast<int>(parser.get().result_int());
        result.complete = parser.is_done();
        result.response = parser.release();
    }
    return result;
}

reply send_once(
    const std::string& address,
    const std::string& method,
    const std::string& target,
    const std::string& body,
    double timeout_seconds)
{
    http_request request;
    request.version(11);
    request.method_string(method);
    request.target(target);
    request.set(http::field::host, address);
    request.set(http::field::content_type, "application/json");
    request.body() = body;
    request.prepare_payload();
    return persistent_connection(address).send(request, timeout_seconds);
}

struct http_server::state
{
    state(const std::string& address, request_handler on_request)
        : acceptor(loop, to_endpoint(address)), handler(std::move(on_request))
    {
    }

    asio::io_context loop;
    tcp::acceptor acceptor;
    request_handler handler;
    std::mutex mutex;
    std::list<std::shared_ptr<tcp::socket>> sockets;
    std::atomic<bool> crashed{false};
    std::thread accept_thread;
};

namespace
{

void serve_connection(
    const std::shared_ptr<tcp::socket>& socket, const request_handler& handler)
{
    beast::flat_buffer buffer;
    boost_error error;
    socket->set_option(tcp::no_delay(true), error);
    while (!error)
    {
        http_request request;
        http::read(*socket, buffer, request, error);
        if (error)
            return;
        handler(
            request,
            [&](const std::string& piece)
            {
                asio::write(*socket, asio::buffer(piece), error);
                return !error;
            });
    }
}

} // namespace

http_server::http_server(const std::string& address, request_handler handler)
    : state_(std::make_shared<state>(address, std::move(handler)))
{
    state_->accept_thread = std::thread(
        [server = state_]
        {
            while (!server->crashed)
            {
                auto socket = std::make_shared<tcp::socket>(server->loop);
                boost_error error;
                server->acceptor.accept(*socket, error);
                if (error || server->crashed)
                    return;
                {
                    const std::lock_guard<std::mutex> lock(server->mutex);
                    server->sockets.push_back(socket);
                }
                std::thread(
                    [server, socket]
                    {
                        serve_connection(socket, server->handler);
                        const std::lock_guard<std::mutex> lock(server->mutex);
                        server->sockets.remove(socket);
                    })
                    .detach();
            }
        });
}

http_server::~http_server()
{
    crash();
}

void http_server::crash()
{
    if (state_->crashed.exchange(true))
        return;
    // Wakes the blocked accept call; closing the socket alone would not.
    ::shutdown(state_->acceptor.native_handle(), SHUT_RDWR);
    state_->accept_thread.join();
    boost_error ignored;
    state_->acceptor.close(ignored);
    const std::lock_guard<std::mutex> lock(state_->mutex);
    for (const auto& each : state_->sockets)
        each->shutdown(tcp::socket::shutdown_both, ignored);
}

} // namespace soak
