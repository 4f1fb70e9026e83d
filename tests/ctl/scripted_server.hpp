// HTTP server on 127.0.0.1 with scripted responses, for tests of clients.
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

/// Serves one connection at a time, one request each, on its own thread.
class scripted_server
{
public:
    using request =
        boost::beast::http::request<boost::beast::http::string_body>;

    /// The response to a request.
    struct reply
    {
        unsigned status = 200;
        std::string body;
        std::string etag;
    };

    /// Returns the response; `std::nullopt` closes the connection without one.
    using handler = std::function<std::optional<reply>(const request&)>;

    explicit scripted_server(handler answer)
        : answer_(std::move(answer))
        , acceptor_(loop_, {boost::asio::ip::make_address("127.0.0.1"), 0})
    {
        accept();
        thread_ = std::thread([this] { loop_.run(); });
    }

    ~scripted_server()
    {
        loop_.stop();
        thread_.join();
    }

    scripted_server(const scripted_server&) = delete;
    scripted_server& operator=(const scripted_server&) = delete;

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
        const auto scripted_reply = answer_(message);
        if (!scripted_reply)
            return;
        http::response<http::string_body> response;
        response.result(scripted_reply->status);
        response.body() = scripted_reply->body;
        if (!scripted_reply->etag.empty())
            response.set(http::field::etag, scripted_reply->etag);
        response.keep_alive(false);
        response.prepare_payload();
        http::write(socket, response, error);
    }

    handler answer_;
    boost::asio::io_context loop_;
    boost::asio::ip::tcp::acceptor acceptor_;
    std::thread thread_;
};

/// An address on 127.0.0.1 that no process listens on.
inline endpoint unused_address()
{
    boost::asio::io_context loop;
    const boost::asio::ip::tcp::acceptor acceptor(
        loop, {boost::asio::ip::make_address("127.0.0.1"), 0});
    return {"127.0.0.1", std::to_string(acceptor.local_endpoint().port())};
}

} // namespace bergamotusher::ctl
