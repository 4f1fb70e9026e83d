#include "daemon/http_client.hpp"

#include "daemon/http_buffer.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <memory>

namespace bergamotusher
{

namespace beast = boost::beast;
namespace http = beast::http;
namespace asio = boost::asio;
using boost_error = boost::system::error_code;

namespace
{

class pending_call : public std::enable_shared_from_this<pending_call>
{
public:
    pending_call(
        asio::io_context& loop,
        const http_call& call,
        std::function<void(http_reply)> on_complete)
        : stream_(loop), call_(call), on_complete_(std::move(on_complete))
    {
        request_.version(11);
        request_.method_string(call.method);
        request_.target(call.path);
        request_.set(http::field::host, to_string(call.target));
        request_.keep_alive(false);
        if (!call.body.empty())
            request_.set(http::field::content_type, "application/json");
        for (const auto& [name, value] : call.fields)
            request_.set(name, value);
        request_.body() = call.body;
        request_.prepare_payload();
    }

    void start()
    {
        stream_.expires_after(call_.timeout);
        stream_.async_connect(
            asio::ip::tcp::endpoint(
                asio::ip::make_address(call_.target.ip), call_.target.port),
            [self = shared_from_this()](boost_error error)
            { error ? self->complete({}) : self->send(); });
    }

private:
    void send()
    {
        http::async_write(
            stream_,
            request_,
            [self = shared_from_this()](boost_error error, std::size_t)
            { error ? self->complete({}) : self->read(); });
    }

    void read()
    {
        http::async_read(
            stream_,
            buffer_,
            answer_,
            [self = shared_from_this()](boost_error error, std::size_t)
            {
                if (error)
                    return self->complete({});
                self->complete(
                    {static_cast<int>(self->answer_.result_int()),
                     std::move(self->answer_.body())});
            });
    }

    void complete(http_reply reply)
    {
        stream_.close();
        on_complete_(std::move(reply));
    }

    beast::tcp_stream stream_;
    http_call call_;
    std::function<void(http_reply)> on_complete_;
    http::request<http::string_body> request_;
    beast::flat_buffer buffer_{max_unparsed_bytes};
    http::response<http::string_body> answer_;
};

} // namespace

void call_http(
    asio::io_context& loop,
    const http_call& call,
    std::function<void(http_reply)> on_complete)
{
    std::make_shared<pending_call>(loop, call, std::move(on_complete))->start();
}

} // namespace bergamotusher
