// A scripted HTTP server on 127.0.0.1 for tests of clients.
#pragma once

#include "observe/ctl/arguments.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include <functional>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace bergamotusher::ctl
{

/// Serves connections one after the other, one request each.
class tiny_server
{
public:
    using request =
        boost::beast::http::request<boost::beast::http::string_body>;

    /// What is answered; nothing: the connection is closed instead.
    struct reply
    {
        unsigned status = 200;
        std::string body;
        std::string etag;
    };

    using handler = std::function<std::optional<reply>(const request&)>;

    explicit tiny_server(handler answer)
        : answer_(std::move(answer))
        , acceptor_(loop_, {boost::asio::ip::make_address("127.0.0.1"), 0})
    {
        accept();
        thread_ = std::thread([this] { loop_.run(); });
    }

    ~tiny_server()
    {
        loop_.stop();
        thread_.join();
    }

    tiny_server(const tiny_server&) = delete;
    tiny_server& operator=(const tiny_server&) = delete;

    endpoint address() const
    {
        return {"127.0.0.1", std::to_string(acceptor_.local_endpoint().port())};
    }

private:
    void accept()
    {
        acceptor_.async_accept(
            [this](auto error, boost::asio::ip::tcp::socket socket)
            {
                if (error)
                    return;
                serve(socket);
                accept();
            });
    }

    void serve(boost::asio::ip::tcp::socket& socket)
    {
        namespace http = boost::beast::http;
        boost::system::error_code error;
        boost::beast::flat_buffer buffer;
        request message;
        http::read(socket, buffer, message, error);
        if (error)
            return;
        const auto given = answer_(message);
        if (!given)
            return;
        http::response<http::string_body> response;
        response.result(given->status);
        response.body() = given->body;
        if (!given->etag.empty())
            response.set(http::field::etag, given->etag);
        response.keep_alive(false);
        response.prepare_payload();
        http::write(socket, response, error);
    }

    handler answer_;
    boost::asio::io_context loop_;
    boost::asio::ip::tcp::acceptor acceptor_;
    std::thread thread_;
};

/// An address of 127.0.0.1 where nobody listens.
inline endpoint dead_address()
{
    boost::asio::io_context loop;
    const boost::asio::ip::tcp::acceptor acceptor(
        loop, {boost::asio::ip::make_address("127.0.0.1"), 0});
    return {"127.0.0.1", std::to_string(acceptor.local_endpoint().port())};
}

} // namespace bergamotusher::ctl
