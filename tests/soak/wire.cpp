#include "soak/wire.hpp"

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
        throw std::runtime_error("not IP:PORT: " + address);
    return {asio::ip::make_address(parsed->ip), parsed->port};
}

} // namespace

struct kept_connection::state
{
    asio::io_context loop;
    beast::tcp_stream stream{loop};
    beast::flat_buffer buffer;
    bool open = false;
};

kept_connection::kept_connection(std::string address)
    : address_(std::move(address)), state_(std::make_unique<state>())
{
}

kept_connection::~kept_connection() = default;

bool kept_connection::is_open() const
{
    return state_->open;
}

reply kept_connection::ask(const http_request& request, double seconds)
{
    reply result;
    state& own = *state_;
    own.stream.expires_after(
        std::chrono::milliseconds(static_cast<int>(seconds * 1000)));
    http::response_parser<http::string_body> parser;
    parser.eager(true);
    const auto read = [&]
    {
        http::async_read(
            own.stream,
            own.buffer,
            parser,
            [&](boost_error error, std::size_t)
            { own.open = !error && parser.keep_alive(); });
    };
    const auto write = [&]
    {
        http::async_write(
            own.stream,
            request,
            [&](boost_error error, std::size_t)
            {
                if (error)
                    own.open = false;
                // What was answered before the connection broke still counts.
                read();
            });
    };
    if (own.open)
        write();
    else
    {
        own.stream.close();
        own.buffer.clear();
        own.stream.async_connect(
            to_endpoint(address_),
            [&](boost_error error)
            {
                if (!error)
                    write();
            });
    }
    own.loop.restart();
    own.loop.run();
    if (parser.is_header_done())
    {
        result.status = static_cast<int>(parser.get().result_int());
        result.complete = parser.is_done();
        result.message = parser.release();
    }
    return result;
}

reply ask_once(
    const std::string& address,
    const std::string& method,
    const std::string& target,
    const std::string& body,
    double seconds)
{
    http_request request;
    request.version(11);
    request.method_string(method);
    request.target(target);
    request.set(http::field::host, address);
    request.set(http::field::content_type, "application/json");
    request.body() = body;
    request.prepare_payload();
    return kept_connection(address).ask(request, seconds);
}

struct host::state
{
    state(const std::string& address, request_handler with)
        : acceptor(loop, to_endpoint(address)), handler(std::move(with))
    {
    }

    asio::io_context loop;
    tcp::acceptor acceptor;
    request_handler handler;
    std::mutex mutex;
    std::list<std::shared_ptr<tcp::socket>> open;
    std::atomic<bool> ended{false};
    std::thread accepting;
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

host::host(const std::string& address, request_handler handler)
    : state_(std::make_shared<state>(address, std::move(handler)))
{
    state_->accepting = std::thread(
        [own = state_]
        {
            while (!own->ended)
            {
                auto socket = std::make_shared<tcp::socket>(own->loop);
                boost_error error;
                own->acceptor.accept(*socket, error);
                if (error || own->ended)
                    return;
                {
                    const std::lock_guard<std::mutex> lock(own->mutex);
                    own->open.push_back(socket);
                }
                std::thread(
                    [own, socket]
                    {
                        serve_connection(socket, own->handler);
                        const std::lock_guard<std::mutex> lock(own->mutex);
                        own->open.remove(socket);
                    })
                    .detach();
            }
        });
}

host::~host()
{
    crash();
}

void host::crash()
{
    if (state_->ended.exchange(true))
        return;
    // Wakes the blocked accept; closing alone would leave it waiting.
    ::shutdown(state_->acceptor.native_handle(), SHUT_RDWR);
    state_->accepting.join();
    boost_error ignored;
    state_->acceptor.close(ignored);
    const std::lock_guard<std::mutex> lock(state_->mutex);
    for (const auto& each : state_->open)
        each->shutdown(tcp::socket::shutdown_both, ignored);
}

} // namespace soak
