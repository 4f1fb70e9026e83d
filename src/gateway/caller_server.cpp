#include "gateway/caller_server.hpp"

#include "base/clock.hpp"
#include "gateway/problem_answer.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/error.hpp>

#include <array>
#include <netinet/tcp.h>
#include <set>
#include <vector>

namespace bergamotusher::gateway
{

namespace
{

namespace asio = boost::asio;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;
using boost_error = boost::system::error_code;

constexpr std::size_t read_size = std::size_t{8} * 1024;
/// Bytes of pipelined requests that are read while an earlier one is answered.
constexpr std::size_t read_ahead_max = std::size_t{64} * 1024;
/// Time for a caller to close a connection after its last answer.
constexpr duration close_timeout = 2s;
/// Time for a body to arrive, in addition to the time for its header.
constexpr duration body_timeout = 10s;

} // namespace

struct caller_server::state : std::enable_shared_from_this<state>
{
    state(
        asio::io_context& io,
        relay& target,
        caller_server_options chosen,
        std::function<site::caller_limits()> bounds)
        : loop(io)
        , requests(target)
        , options(std::move(chosen))
        , limits(std::move(bounds))
        , acceptor(io)
    {
    }

    void accept();
    /// Accepts the connections that callers have opened already.
    void accept_waiting();
    void serve(tcp::socket socket);

    asio::io_context& loop;
    relay& requests;
    caller_server_options options;
    std::function<site::caller_limits()> limits;
    tcp::acceptor acceptor;
    caller_counters counters;
    bool close_after_answer = false;
    std::set<std::shared_ptr<session>> sessions;
};

class caller_server::session : public response_writer,
                               public std::enable_shared_from_this<session>
{
public:
    session(tcp::socket socket, std::shared_ptr<state> owner)
        : socket_(std::move(socket)), owner_(std::move(owner))
    {
    }

    void start()
    {
        boost_error ignored;
        socket_.set_option(tcp::no_delay(true), ignored);
        waiting_since_ = uptime();
        prepare_next_request();
        read();
    }

    void send(std::string bytes) override
    {
        if (closed_)
            return;
        if (unsent_.empty())
            unsent_ = std::move(bytes);
        else
            unsent_ += bytes;
        if (unsent_.size() > owner_->options.unsent_bytes_max)
        {
            ++owner_->counters.slow_readers;
            return abort();
        }
        if (!writing_)
            write();
    }

    void finish() override
    {
        request_number_ = 0;
        answering_ = false;
        closing_ = closing_ || closes_connection();
        waiting_since_ = uptime();
        if (closing_)
        {
            if (!writing_)
                close_gracefully();
            return;
        }
        prepare_next_request();
        // The next request may have been read already. It is parsed after this
        // call returns, since the relay may still be working on the previous
        // one.
        if (!buffer_.empty())
            asio::post(
                owner_->loop,
                [self = shared_from_this()]
                {
                    if (!self->closed_ && !self->answering_)
                        self->parse();
                    if (!self->closed_ && !self->reading_)
                        self->read();
                });
        else if (!reading_)
            read();
    }

    void abort() override
    {
        request_number_ = 0;
        close();
    }

    bool closes_connection() const override
    {
        return owner_->close_after_answer || !keep_alive_;
    }

    /// Closes the connection unless a request is in progress or has arrived;
    /// if the last answer is not sent to its end, then after that.
    void close_if_idle()
    {
        leaving_ = true;
        if (closed_ || writing_ || !is_idle() || !buffer_.empty())
            return;
        // Bytes that were read already are still passed to `on_read`.
        boost_error ignored;
        socket_.cancel(ignored);
    }

    /// Closes the connection if the caller exceeds a time limit.
    void check_timeouts(const site::caller_limits& limits, time_point now)
    {
        if (closed_)
            return;
        if (half_closed_ && now - waiting_since_ > close_timeout)
            return close();
        if (answering_)
            return;
        const duration timeout = request_started_
                                     ? limits.header_timeout + body_timeout
                                     : limits.idle_timeout;
        if (now - waiting_since_ < timeout)
            return;
        if (!request_started_)
            return close();
        ++owner_->counters.slow_senders;
        reject(error_kind::slow_sender, "the request did not come whole");
    }

    void close()
    {
        if (closed_)
            return;
        closed_ = true;
        const auto self = shared_from_this();
        boost_error ignored;
        socket_.close(ignored);
        --owner_->counters.open;
        owner_->sessions.erase(self);
        if (request_number_ != 0)
            owner_->requests.abandon(std::exchange(request_number_, 0));
    }

private:
    bool is_idle() const
    {
        return !answering_ && !request_started_;
    }

    void prepare_next_request()
    {
        const site::caller_limits limits = owner_->limits();
        parser_.emplace();
        parser_->eager(true);
        parser_->header_limit(limits.header_bytes);
        parser_->body_limit(limits.body_bytes);
        request_started_ = false;
        continue_sent_ = false;
    }

    void read()
    {
        reading_ = true;
        socket_.async_read_some(
            asio::buffer(chunk_),
            [self = shared_from_this()](boost_error error, std::size_t size)
            { self->on_read(error, size); });
    }

    void on_read(boost_error error, std::size_t size)
    {
        reading_ = false;
        if (closed_)
            return;
        if (error == asio::error::operation_aborted && leaving_ &&
            has_unread_bytes())
            return read();
        if (error)
            return close();
        buffer_.append(chunk_.data(), size);
        if (!answering_)
            parse();
        if (!closed_ && !reading_ && buffer_.size() < read_ahead_max)
            read();
    }

    bool has_unread_bytes() const
    {
        boost_error ignored;
        return socket_.available(ignored) > 0;
    }

    void parse()
    {
        if (buffer_.empty())
            return;
        if (!request_started_)
        {
            request_started_ = true;
            waiting_since_ = uptime();
        }
        boost_error error;
        const parse_outcome outcome = feed(*parser_, buffer_, error);
        if (outcome == parse_outcome::malformed)
            return on_malformed(error);
        if (parser_->has_header && !validate_head())
            return;
        if (outcome == parse_outcome::done)
            submit();
    }

    void on_malformed(boost_error error)
    {
        if (error == http::error::header_limit)
            return reject(
                error_kind::header_too_large, "the header is too large");
        if (error == http::error::body_limit)
            return reject(error_kind::body_too_large, "the body is too large");
        reject(error_kind::malformed_request, error.message());
    }

    /// Rejects ambiguous heads, which two parsers could interpret differently
    /// (request smuggling).
    bool validate_head()
    {
        const header_fields& fields = parser_->message.fields;
        const std::string* transfer_coding =
            find_field(fields, "Transfer-Encoding");
        const char* problem = nullptr;
        if (transfer_coding != nullptr &&
            find_field(fields, "Content-Length") != nullptr)
            problem = "both Content-Length and Transfer-Encoding are given";
        else if (
            transfer_coding != nullptr &&
            !equals_ignoring_case(*transfer_coding, "chunked"))
            problem = "the transfer coding is not chunked";
        else if (
            count_fields(fields, "Content-Length") > 1 ||
            count_fields(fields, "Transfer-Encoding") > 1)
            problem = "the length is given twice";
        else if (count_fields(fields, "Host") != 1)
            problem = "there is not one Host field";
        if (problem != nullptr)
        {
            reject(error_kind::malformed_request, problem);
            return false;
        }
        const std::string* expect = find_field(fields, "Expect");
        if (expect != nullptr && !continue_sent_ && !parser_->is_done() &&
            equals_ignoring_case(*expect, "100-continue"))
        {
            continue_sent_ = true;
            send("HTTP/1.1 100 Continue\r\n\r\n");
        }
        return true;
    }

    void submit()
    {
        answering_ = true;
        keep_alive_ = parser_->message.keep_alive;
        const auto self = shared_from_this();
        const std::uint64_t number = owner_->requests.accept(
            std::move(parser_->message), self, waiting_since_);
        // The relay may already have answered inside the call.
        if (answering_ && !closed_)
            request_number_ = number;
    }

    void reject(error_kind kind, std::string detail)
    {
        if (kind == error_kind::malformed_request)
            ++owner_->counters.malformed;
        else if (kind != error_kind::slow_sender)
            ++owner_->counters.too_large;
        closing_ = true;
        answering_ = true;
        buffer_.clear();
        std::string bytes;
        append_problem(bytes, {kind, std::move(detail)}, {}, {}, true);
        send(std::move(bytes));
        finish();
    }

    void write()
    {
        writing_ = true;
        sending_ = std::move(unsent_);
        unsent_.clear();
        asio::async_write(
            socket_,
            asio::buffer(sending_),
            [self = shared_from_this()](boost_error error, std::size_t)
            { self->on_written(error); });
    }

    void on_written(boost_error error)
    {
        writing_ = false;
        if (closed_)
            return;
        if (error)
            return close();
        if (!unsent_.empty())
            return write();
        if ((closing_ && !answering_) || (leaving_ && is_idle()))
            close_gracefully();
    }

    /// Shuts down the sending side, so that all bytes sent arrive, and waits
    /// for the caller to close the connection.
    void close_gracefully()
    {
        if (closed_ || half_closed_)
            return;
        half_closed_ = true;
        // No further request is parsed.
        answering_ = true;
        waiting_since_ = uptime();
        buffer_.clear();
        boost_error ignored;
        socket_.shutdown(tcp::socket::shutdown_send, ignored);
    }

    tcp::socket socket_;
    std::shared_ptr<state> owner_;
    std::array<char, read_size> chunk_{};
    std::string buffer_;
    std::optional<request_parser> parser_;
    std::string unsent_;
    std::string sending_;
    /// Number of the request being answered; 0 if there is none.
    std::uint64_t request_number_ = 0;
    time_point waiting_since_;
    bool request_started_ = false;
    bool answering_ = false;
    bool reading_ = false;
    bool writing_ = false;
    bool keep_alive_ = true;
    bool closing_ = false;
    /// The connection is to be closed once it is idle.
    bool leaving_ = false;
    bool half_closed_ = false;
    bool closed_ = false;
    bool continue_sent_ = false;
};

void caller_server::state::accept()
{
    acceptor.async_accept(
        [self = shared_from_this()](boost_error error, tcp::socket socket)
        {
            if (!error)
                self->serve(std::move(socket));
            if (self->acceptor.is_open())
                self->accept();
        });
}

void caller_server::state::serve(tcp::socket socket)
{
    if (counters.open >= options.connections_max)
        return;
    ++counters.accepted;
    ++counters.open;
    const auto created =
        std::make_shared<session>(std::move(socket), shared_from_this());
    sessions.insert(created);
    created->start();
    if (!acceptor.is_open())
        created->close_if_idle();
}

void caller_server::state::accept_waiting()
{
    boost_error error;
    acceptor.non_blocking(true, error);
    for (int count = 0; !error && count <= options.backlog; ++count)
    {
        tcp::socket socket(loop);
        acceptor.accept(socket, error);
        if (!error)
            serve(std::move(socket));
    }
}

caller_server::caller_server(
    asio::io_context& loop,
    relay& requests,
    caller_server_options options,
    std::function<site::caller_limits()> limits)
    : state_(std::make_shared<state>(
          loop, requests, std::move(options), std::move(limits)))
{
    const endpoint& address = state_->options.address;
    const tcp::endpoint local(asio::ip::make_address(address.ip), address.port);
    state_->acceptor.open(local.protocol());
    state_->acceptor.set_option(tcp::acceptor::reuse_address(true));
    state_->acceptor.bind(local);
    state_->acceptor.listen(state_->options.backlog);
    state_->accept();
}

caller_server::~caller_server()
{
    boost_error ignored;
    state_->acceptor.close(ignored);
    const std::set<std::shared_ptr<session>> all = state_->sessions;
    for (const auto& each : all)
        each->close();
}

void caller_server::close_after_answers()
{
    state_->close_after_answer = true;
}

void caller_server::stop_accepting()
{
    state_->close_after_answer = true;
    state_->accept_waiting();
    boost_error ignored;
    state_->acceptor.close(ignored);
    const std::set<std::shared_ptr<session>> all = state_->sessions;
    for (const auto& each : all)
        each->close_if_idle();
}

bool caller_server::is_drained() const
{
    return state_->sessions.empty();
}

void caller_server::tick()
{
    const time_point now = uptime();
    const site::caller_limits limits = state_->limits();
    const std::set<std::shared_ptr<session>> all = state_->sessions;
    for (const auto& each : all)
        each->check_timeouts(limits, now);
}

const caller_counters& caller_server::counters() const
{
    return state_->counters;
}

} // namespace bergamotusher::gateway
