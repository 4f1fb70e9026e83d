#include "observe/ctl/http_client.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include <cstdint>
#include <utility>

namespace bergamotusher::ctl
{

namespace
{

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

constexpr std::uint64_t max_body_bytes = std::uint64_t{64} << 20;
// Beast's notation for HTTP/1.1.
constexpr int http_version_1_1 = 11;

/// Runs one asynchronous operation of `stream` until it completes or times
/// out.
template<class Start>
error_code run_with_timeout(
    asio::io_context& loop,
    boost::beast::tcp_stream& stream,
    duration timeout,
    Start start)
{
    error_code result;
    stream.expires_after(timeout);
    start([&result](error_code error, auto&&...) { result = error; });
    loop.restart();
    loop.run();
    return result;
}

http::request<http::string_body>
make_message(const endpoint& to, const http_request& request)
{
    http::request<http::string_body> message(
        request.method, request.target, http_version_1_1);
    message.set(http::field::host, to.host + ":" + to.port);
    message.set(http::field::connection, "close");
    if (!request.token.empty())
        message.set(http::field::authorization, "Bearer " + request.token);
    if (!request.if_match.empty())
        message.set(http::field::if_match, request.if_match);
    if (!request.idempotency_key.empty())
        message.set("Idempotency-Key", request.idempotency_key);
    if (!request.body.empty())
        message.set(http::field::content_type, "application/json");
    message.body() = request.body;
    message.prepare_payload();
    return message;
}

failure make_failure(
    error_kind kind,
    const endpoint& to,
    const char* action,
    const error_code& error)
{
    return {
        kind, to.host + ":" + to.port + ": " + action + ": " + error.message()};
}

http_answer make_answer(http::response<http::string_body>&& message)
{
    http_answer answer;
    answer.status = message.result_int();
    answer.etag = std::string(message[http::field::etag]);
    answer.body = std::move(message.body());
    return answer;
}

} // namespace

http_result
send(const endpoint& to, const http_request& request, duration timeout)
{
    asio::io_context loop;
    boost::beast::tcp_stream stream(loop);
    const asio::ip::tcp::endpoint address(
        asio::ip::make_address(to.host),
        static_cast<std::uint16_t>(std::stoul(to.port)));
    const auto run = [&](auto start)
    {
        return run_with_timeout(loop, stream, timeout, start);
    };

    error_code error =
        run([&](auto done) { stream.async_connect(address, done); });
    if (error)
        return make_failure(error_kind::peer_unreachable, to, "connect", error);

    const auto message = make_message(to, request);
    error = run([&](auto done) { http::async_write(stream, message, done); });
    if (error)
        return make_failure(error_kind::outcome_unknown, to, "send", error);

    boost::beast::flat_buffer buffer;
    http::response_parser<http::string_body> parser;
    parser.body_limit(max_body_bytes);
    error =
        run([&](auto done) { http::async_read(stream, buffer, parser, done); });
    if (error)
        return make_failure(error_kind::outcome_unknown, to, "answer", error);
    return make_answer(parser.release());
}

} // namespace bergamotusher::ctl
