#include "daemon/http_server.hpp"

#include "daemon/http_buffer.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <cctype>
#include <deque>
#include <optional>
#include <system_error>

namespace bergamotusher
{

namespace beast = boost::beast;
namespace http = beast::http;
namespace asio = boost::asio;
using tcp = asio::ip::tcp;
using boost_error = boost::system::error_code;

struct http_server::state
{
    state(asio::io_context& io_loop, http_limits limit, http_handler handle)
        : loop(io_loop)
        , acceptor(io_loop)
        , limits(limit)
        , handler(std::move(handle))
    {
    }

    asio::io_context& loop;
    tcp::acceptor acceptor;
    http_limits limits;
    http_handler handler;
    http_counters counters;
    bool accepting = true;
};

namespace
{

std::string to_lower(std::string text)
{
    for (char& c : text)
        c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
    return text;
}

http_request to_request(http::request<http::string_body>&& from)
{
    http_request result;
    result.method = std::string(from.method_string());
    result.target = std::string(from.target());
    for (const auto& field : from)
        result.headers[to_lower(std::string(field.name_string()))] =
            std::string(field.value());
    result.body = std::move(from.body());
    return result;
}

error_kind read_error_kind(const boost_error& error)
{
    if (error == http::error::header_limit)
        return error_kind::header_too_large;
    if (error == http::error::body_limit)
        return error_kind::body_too_large;
    return error_kind::malformed_request;
}

// One connection. It handles one request at a time. While a response is
// pending it watches the socket, to notice that the caller has disconnected.
class session : public http_exchange,
                public std::enable_shared_from_this<session>
{
public:
    template<class State>
    session(tcp::socket socket, std::shared_ptr<State> server)
        : stream_(std::move(socket))
        , limits_(server->limits)
        , counters_(server->counters)
        , handler_(server->handler)
        , accepting_(server->accepting)
        , server_state_(server)
        , loop_(server->loop)
        , receive_timer_(server->loop)
    {
        ++counters_.open;
        boost_error ignored;
        stream_.socket().set_option(tcp::no_delay(true), ignored);
    }

    ~session() override
    {
        --counters_.open;
    }

    session(const session&) = delete;
    session& operator=(const session&) = delete;

    void read()
    {
        parser_.emplace();
        parser_->header_limit(limits_.header_bytes);
        parser_->body_limit(limits_.body_bytes);
        if (buffer_.size() > 0)
            return read_request();
        start_receive_timer(limits_.idle_timeout);
        await_first_byte();
    }

    void reject(error_kind kind)
    {
        keep_alive_ = false;
        answer_problem(*this, {kind, ""});
    }

    void
    answer(int status, const http_fields& fields, std::string body) override
    {
        send_head(status, fields, body.size());
        if (!body.empty())
            enqueue_bytes(body);
        finish();
    }

    void begin(int status, const http_fields& fields) override
    {
        send_head(status, fields, std::nullopt);
        chunked_ = true;
    }

    void write(const std::string& piece) override
    {
        if (piece.empty())
            return;
        char size[32];
        std::snprintf(size, sizeof size, "%zx\r\n", piece.size());
        enqueue_bytes(size + piece + "\r\n");
    }

    void end() override
    {
        if (chunked_)
            enqueue_bytes("0\r\n\r\n");
        finish();
    }

    void abort() override
    {
        close();
    }

    void on_disconnect(std::function<void()> handler) override
    {
        on_disconnect_ = std::move(handler);
    }

private:
    // Cancels a read that takes longer than `time`. The socket stays open, so
    // that the time-out can be reported in a response.
    void start_receive_timer(duration time)
    {
        receive_timed_out_ = false;
        receive_timer_.expires_after(time);
        receive_timer_.async_wait(
            [weak = weak_from_this()](boost_error error)
            {
                const auto self = weak.lock();
                if (error || !self || self->answering_)
                    return;
                self->receive_timed_out_ = true;
                boost_error ignored;
                self->stream_.socket().cancel(ignored);
            });
    }

    void await_first_byte()
    {
        stream_.async_read_some(
            buffer_.prepare(read_size),
            [self = shared_from_this()](boost_error error, std::size_t size)
            {
                if (error)
                    return self->close();
                self->buffer_.commit(size);
                self->read_request();
            });
    }

    void read_request()
    {
        start_receive_timer(limits_.receive_timeout);
        http::async_read(
            stream_,
            buffer_,
            *parser_,
            [self = shared_from_this()](boost_error error, std::size_t)
            { self->on_read(error); });
    }

    void on_read(const boost_error& error)
    {
        if (error == http::error::end_of_stream ||
            error == asio::error::connection_reset)
            return close();
        if (error)
            return on_read_error(error);
        ++counters_.requests;
        receive_timer_.cancel();
        keep_alive_ = parser_->keep_alive();
        answering_ = true;
        auto request = to_request(parser_->release());
        watch_for_disconnect();
        handler_(std::move(request), shared_from_this());
    }

    void on_read_error(const boost_error& error)
    {
        const error_kind kind = receive_timed_out_ ? error_kind::slow_sender
                                                   : read_error_kind(error);
        count_read_error(kind);
        answering_ = true;
        reject(kind);
    }

    void count_read_error(error_kind kind)
    {
        if (kind == error_kind::slow_sender)
            ++counters_.slow_senders;
        else if (kind == error_kind::malformed_request)
            ++counters_.malformed;
        else
            ++counters_.too_large;
    }

    void watch_for_disconnect()
    {
        stream_.socket().async_wait(
            tcp::socket::wait_read,
            [self = shared_from_this()](boost_error error)
            {
                if (error || !self->answering_)
                    return;
                char byte = 0;
                boost_error peek_error;
                self->stream_.socket().receive(
                    asio::buffer(&byte, 1),
                    tcp::socket::message_peek,
                    peek_error);
                if (peek_error)
                    self->close();
            });
    }

    void send_head(
        int status,
        const http_fields& fields,
        std::optional<std::size_t> length)
    {
        http::response<http::empty_body> head;
        head.version(11);
        head.result(static_cast<unsigned>(status));
        for (const auto& [name, value] : fields)
            head.insert(name, value);
        if (!accepting_)
            keep_alive_ = false;
        head.keep_alive(keep_alive_);
        if (length)
            head.content_length(*length);
        else
            head.chunked(true);
        beast::flat_buffer text;
        std::ostringstream out;
        out << head.base();
        enqueue_bytes(out.str());
    }

    void enqueue_bytes(const std::string& piece)
    {
        if (closed_)
            return;
        unsent_size_ += piece.size();
        if (unsent_size_ > limits_.unsent_bytes)
        {
            ++counters_.slow_readers;
            return close();
        }
        queued_bytes_ += piece;
        if (!writing_)
            send();
    }

    void send()
    {
        writing_ = true;
        sending_bytes_.swap(queued_bytes_);
        queued_bytes_.clear();
        stream_.expires_after(limits_.send_timeout);
        asio::async_write(
            stream_,
            asio::buffer(sending_bytes_),
            [self = shared_from_this()](boost_error error, std::size_t)
            { self->on_sent(error); });
    }

    void on_sent(const boost_error& error)
    {
        writing_ = false;
        if (error)
            return close();
        unsent_size_ -= sending_bytes_.size();
        sending_bytes_.clear();
        if (!queued_bytes_.empty())
            return send();
        stream_.expires_never();
        if (response_complete_)
            finish_exchange();
    }

    void finish()
    {
        response_complete_ = true;
        on_disconnect_ = nullptr;
        if (!writing_)
            finish_exchange();
    }

    void finish_exchange()
    {
        if (!keep_alive_ || closed_)
            return close();
        response_complete_ = answering_ = chunked_ = false;
        boost_error ignored;
        stream_.socket().cancel(ignored);
        asio::post(loop_, [self = shared_from_this()] { self->read(); });
    }

    void close()
    {
        if (closed_)
            return;
        closed_ = true;
        receive_timer_.cancel();
        boost_error ignored;
        stream_.socket().shutdown(tcp::socket::shutdown_both, ignored);
        stream_.close();
        if (auto handler = std::exchange(on_disconnect_, nullptr))
            handler();
    }

    static constexpr std::size_t read_size = std::size_t{8} << 10;
    beast::tcp_stream stream_;
    const http_limits& limits_;
    http_counters& counters_;
    const http_handler& handler_;
    const bool& accepting_;
    std::shared_ptr<void> server_state_;
    asio::io_context& loop_;
    asio::steady_timer receive_timer_;
    beast::flat_buffer buffer_{max_unparsed_bytes};
    std::optional<http::request_parser<http::string_body>> parser_;
    std::function<void()> on_disconnect_;
    std::string queued_bytes_;
    std::string sending_bytes_;
    std::size_t unsent_size_ = 0;
    bool keep_alive_ = false;
    bool receive_timed_out_ = false;
    bool answering_ = false;
    bool chunked_ = false;
    bool writing_ = false;
    bool response_complete_ = false;
    bool closed_ = false;
};

template<class State>
void accept(const std::shared_ptr<State>& server)
{
    server->acceptor.async_accept(
        [server](boost_error error, tcp::socket socket)
        {
            if (!server->acceptor.is_open())
                return;
            if (!error)
            {
                ++server->counters.accepted;
                auto accepted_session =
                    std::make_shared<session>(std::move(socket), server);
                if (server->counters.open > server->limits.connections)
                {
                    ++server->counters.over_limit;
                    accepted_session->reject(error_kind::too_many_connections);
                }
                else
                    accepted_session->read();
            }
            accept(server);
        });
}

} // namespace

std::string http_request::header(const std::string& name) const
{
    const auto found = headers.find(name);
    return found == headers.end() ? std::string() : found->second;
}

std::string http_request::path() const
{
    return target.substr(0, target.find('?'));
}

std::string http_request::query_text() const
{
    const std::size_t query_mark = target.find('?');
    return query_mark == std::string::npos ? std::string()
                                           : target.substr(query_mark + 1);
}

http_server::http_server(
    asio::io_context& loop,
    const endpoint& address,
    http_limits limits,
    http_handler handler)
    : state_(std::make_shared<state>(loop, limits, std::move(handler)))
{
    const tcp::endpoint local(asio::ip::make_address(address.ip), address.port);
    try
    {
        state_->acceptor.open(local.protocol());
        state_->acceptor.set_option(tcp::acceptor::reuse_address(true));
        state_->acceptor.bind(local);
        state_->acceptor.listen();
    }
    catch (const boost::system::system_error& error)
    {
        throw std::system_error(
            error.code().value(),
            std::system_category(),
            "cannot listen on " + to_string(address));
    }
    accept(state_);
}

http_server::~http_server() = default;

const http_counters& http_server::counters() const
{
    return state_->counters;
}

void http_server::stop_accepting()
{
    state_->accepting = false;
    boost_error ignored;
    state_->acceptor.close(ignored);
}

std::string problem_document(const failure& error, run_claim run)
{
    const error_answer& row = error_answer_for(error.kind);
    nlohmann::json document{
        {"type", "about:blank"},
        {"title", row.title},
        {"status", row.http_status},
        {"kind", row.name},
        {"run", to_name(run)}};
    if (!error.detail.empty())
        document["detail"] = error.detail;
    return document.dump(
        -1, ' ', false, nlohmann::json::error_handler_t::replace);
}

void answer_problem(
    http_exchange& exchange,
    const failure& error,
    run_claim run,
    const http_fields& extra_fields)
{
    http_fields fields{{"Content-Type", "application/problem+json"}};
    fields.insert(fields.end(), extra_fields.begin(), extra_fields.end());
    exchange.answer(
        error_answer_for(error.kind).http_status,
        fields,
        problem_document(error, run));
}

void answer_problem(http_exchange& exchange, const failure& error)
{
    answer_problem(exchange, error, error_answer_for(error.kind).run);
}

} // namespace bergamotusher
