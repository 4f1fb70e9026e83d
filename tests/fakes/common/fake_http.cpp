#include "fake_http.hpp"

#include "settings/settings.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <cctype>
#include <fstream>
#include <thread>

namespace bergamotusher::fakes
{

namespace beast = boost::beast;
namespace http = beast::http;
namespace asio = boost::asio;
using tcp = asio::ip::tcp;
using boost_error = boost::system::error_code;

namespace
{

tcp::endpoint to_endpoint(const std::string& address)
{
    const auto parsed = parse_endpoint(address);
    if (!parsed)
        throw std::runtime_error("address is not IP:PORT: " + address);
    return {asio::ip::make_address(parsed->ip), parsed->port};
}

class socket_response_writer : public response_writer
{
public:
    explicit socket_response_writer(tcp::socket& socket) : socket_(socket) {}

    bool send_response(
        int status,
        const std::string& content_type,
        const std::string& body,
        const std::string& request_id) override
    {
        http::response<http::string_body> response;
        response.version(11);
        response.result(static_cast<unsigned>(status));
        response.set(http::field::content_type, content_type);
        if (!request_id.empty())
            response.set("X-Request-Id", request_id);
        response.body() = body;
        response.prepare_payload();
        boost_error error;
        http::write(socket_, response, error);
        return !error;
    }

    bool begin_chunked(
        const std::string& content_type, const std::string& request_id) override
    {
        return send(
            "HTTP/1.1 200 OK\r\nContent-Type: " + content_type +
            "\r\nX-Request-Id: " + request_id +
            "\r\nTransfer-Encoding: chunked\r\n\r\n");
    }

    bool send_chunk(const std::string& text) override
    {
        char size[32];
        std::snprintf(size, sizeof size, "%zx\r\n", text.size());
        return send(size + text + "\r\n");
    }

    bool end_chunked() override
    {
        return send("0\r\n\r\n");
    }

    bool send_bytes(const std::string& bytes) override
    {
        return send(bytes);
    }

private:
    // Peeks at the socket first: a write after the peer closed the connection
    // may still succeed.
    bool send(const std::string& text)
    {
        boost_error error;
        char byte = 0;
        socket_.non_blocking(true, error);
        socket_.receive(
            asio::buffer(&byte, 1), tcp::socket::message_peek, error);
        const bool open = error == asio::error::would_block || !error;
        socket_.non_blocking(false, error);
        if (!open)
            return false;
        asio::write(socket_, asio::buffer(text), error);
        return !error;
    }

    tcp::socket& socket_;
};

fake_request to_request(const http::request<http::string_body>& from)
{
    fake_request result;
    result.method = std::string(from.method_string());
    result.path = std::string(from.target());
    result.body = from.body();
    for (const auto& field : from)
    {
        std::string name(field.name_string());
        for (char& character : name)
            character = static_cast<char>(
                std::tolower(static_cast<unsigned char>(character)));
        result.headers[name] = std::string(field.value());
    }
    return result;
}

void serve_connection(tcp::socket socket, const request_handler& handler)
{
    beast::flat_buffer buffer;
    boost_error error;
    socket.set_option(tcp::no_delay(true), error);
    while (true)
    {
        http::request_parser<http::string_body> parser;
        parser.body_limit(std::uint64_t{64} << 20);
        http::read(socket, buffer, parser, error);
        if (error)
            return;
        socket_response_writer writer(socket);
        handler(to_request(parser.get()), writer);
    }
}

} // namespace

void serve(const std::string& address, const request_handler& handler)
{
    asio::io_context loop;
    tcp::acceptor acceptor(loop, to_endpoint(address));
    while (true)
    {
        tcp::socket socket(loop);
        boost_error error;
        acceptor.accept(socket, error);
        if (error)
            continue;
        std::thread([handler, accepted = std::move(socket)]() mutable
                    { serve_connection(std::move(accepted), handler); })
            .detach();
    }
}

fake_response send_request(
    const std::string& address,
    const std::string& method,
    const std::string& path,
    const std::string& token,
    const std::string& body)
{
    fake_response result;
    asio::io_context loop;
    beast::tcp_stream stream(loop);
    stream.expires_after(std::chrono::seconds(1));
    http::request<http::string_body> request;
    request.version(11);
    request.method_string(method);
    request.target(path);
    request.set(http::field::host, address);
    request.set(http::field::authorization, "Bearer " + token);
    request.set(http::field::content_type, "application/json");
    request.body() = body;
    request.prepare_payload();
    beast::flat_buffer buffer;
    http::response<http::string_body> response;
    stream.async_connect(
        to_endpoint(address),
        [&](boost_error error)
        {
            if (error)
                return;
            http::async_write(
                stream,
                request,
                [&](boost_error write_error, std::size_t)
                {
                    if (write_error)
                        return;
                    http::async_read(
                        stream,
                        buffer,
                        response,
                        [&](boost_error read_error, std::size_t)
                        {
                            if (read_error)
                                return;
                            result.status =
                                static_cast<int>(response.result_int());
                            result.body = response.body();
                        });
                });
        });
    loop.run();
    return result;
}

std::string read_token(const std::string& file)
{
    std::ifstream in(file);
    std::string token;
    std::getline(in, token);
    return token;
}

} // namespace bergamotusher::fakes
