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
/// Bytes of later requests that are read ahead while one is answered.
constexpr std::size_t read_ahead = std::size_t{64} * 1024;
/// For a caller to close a connection after its last answer.
constexpr duration linger_time = 2s;
/// For a body to arrive, beyond the time of its header.
constexpr duration body_time = 10s;

} // namespace

struct caller_server::state : std::enable_shared_from_this<state>
{
    state(
        asio::io_context& io,
        relay& to,
        caller_server_options chosen,
        std::function<site::caller_limits()> bounds)
        : loop(io)
        , requests(to)
        , options(std::move(chosen))
        , limits(std::move(bounds))
        , acceptor(io)
    {
    }

    void accept();

    asio::io_context& loop;
    relay& requests;
    caller_server_options options;
    std::function<site::caller_limits()> limits;
    tcp::acceptor acceptor;
    caller_counters counters;
    bool closing = false;
    std::set<std::shared_ptr<session>> sessions;
};

class caller_server::session : public caller_port,
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
        waits_since_ = uptime();
        next_request();
        read();
    }

    void send(std::string bytes) override
    {
        if (closed_)
            return;
        if (waiting_.empty())
            waiting_ = std::move(bytes);
        else
            waiting_ += bytes;
        if (waiting_.size() > owner_->options.unsent_bytes)
        {
            ++owner_->counters.slow_readers;
            return cut();
        }
        if (!writing_)
            write();
    }

    void finish() override
    {
        number_ = 0;
        answering_ = false;
        ends_ = ends_ || closes();
        waits_since_ = uptime();
        if (ends_)
        {
            if (!writing_)
                close_gracefully();
            return;
        }
        next_request();
        // The next request may have been read already. The relay may still
        // be at work on the one before, so it is not begun inside this call.
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

    void cut() override
    {
        number_ = 0;
        close();
    }

    bool closes() const override
    {
        return owner_->closing || !keep_alive_;
    }

    bool is_idle() const
    {
        return !answering_ && !has_begun_;
    }

    /// Closes if the caller takes too long.
    void check(const site::caller_limits& limits, time_point now)
    {
        if (closed_)
            return;
        if (half_closed_ && now - waits_since_ > linger_time)
            return close();
        if (answering_)
            return;
        const duration most =
            has_begun_ ? limits.header_time + body_time : limits.idle_time;
        if (now - waits_since_ < most)
            return;
        if (!has_begun_)
            return close();
        ++owner_->counters.slow_senders;
        refuse(error_kind::slow_sender, "the request did not come whole");
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
        if (number_ != 0)
            owner_->requests.leave(std::exchange(number_, 0));
    }

private:
    void next_request()
    {
        const site::caller_limits limits = owner_->limits();
        parser_.emplace();
        parser_->eager(true);
        parser_->header_limit(limits.header_bytes);
        parser_->body_limit(limits.body_bytes);
        has_begun_ = false;
        told_to_go_on_ = false;
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
        if (error)
            return close();
        buffer_.append(chunk_.data(), size);
        if (!answering_)
            parse();
        if (!closed_ && !reading_ && buffer_.size() < read_ahead)
            read();
    }

    void parse()
    {
        if (buffer_.empty())
            return;
        if (!has_begun_)
        {
            has_begun_ = true;
            waits_since_ = uptime();
        }
        boost_error error;
        const parse_outcome outcome = feed(*parser_, buffer_, error);
        if (outcome == parse_outcome::malformed)
            return on_malformed(error);
        if (parser_->has_header && !check_head())
            return;
        if (outcome == parse_outcome::done)
            take();
    }

    void on_malformed(boost_error error)
    {
        if (error == http::error::header_limit)
            return refuse(
                error_kind::header_too_large, "the header is too large");
        if (error == http::error::body_limit)
            return refuse(error_kind::body_too_large, "the body is too large");
        refuse(error_kind::malformed_request, error.message());
    }

    /// Refuses heads that two readers could understand differently.
    bool check_head()
    {
        const header_fields& fields = parser_->message.fields;
        const std::string* coding = find_field(fields, "Transfer-Encoding");
        const char* wrong = nullptr;
        if (coding != nullptr &&
            find_field(fields, "Content-Length") != nullptr)
            wrong = "both Content-Length and Transfer-Encoding are given";
        else if (coding != nullptr && !equals_ignoring_case(*coding, "chunked"))
            wrong = "the transfer coding is not chunked";
        else if (
            count_fields(fields, "Content-Length") > 1 ||
            count_fields(fields, "Transfer-Encoding") > 1)
            wrong = "the length is given twice";
        else if (count_fields(fields, "Host") != 1)
            wrong = "there is not one Host field";
        if (wrong != nullptr)
        {
            refuse(error_kind::malformed_request, wrong);
            return false;
        }
        const std::string* expects = find_field(fields, "Expect");
        if (expects != nullptr && !told_to_go_on_ && !parser_->is_done() &&
            equals_ignoring_case(*expects, "100-continue"))
        {
            told_to_go_on_ = true;
            send("HTTP/1.1 100 Continue\r\n\r\n");
        }
        return true;
    }

    void take()
    {
        answering_ = true;
        keep_alive_ = parser_->message.keep_alive;
        const auto self = shared_from_this();
        const std::uint64_t taken = owner_->requests.take(
            std::move(parser_->message), self, waits_since_);
        // The request may have been answered inside the call.
        if (answering_ && !closed_)
            number_ = taken;
    }

    void refuse(error_kind kind, std::string detail)
    {
        if (kind == error_kind::malformed_request)
            ++owner_->counters.malformed;
        else if (kind != error_kind::slow_sender)
            ++owner_->counters.too_large;
        ends_ = true;
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
        sending_ = std::move(waiting_);
        waiting_.clear();
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
        if (!waiting_.empty())
            return write();
        if (ends_ && !answering_)
            close_gracefully();
    }

    /// Ends the sending side, so that what was sent arrives, and waits for the
    /// caller to close.
    void close_gracefully()
    {
        if (closed_ || half_closed_)
            return;
        half_closed_ = true;
        // Nothing more is read as a request.
        answering_ = true;
        waits_since_ = uptime();
        buffer_.clear();
        boost_error ignored;
        socket_.shutdown(tcp::socket::shutdown_send, ignored);
    }

    tcp::socket socket_;
    std::shared_ptr<state> owner_;
    std::array<char, read_size> chunk_{};
    std::string buffer_;
    std::optional<request_parser> parser_;
    std::string waiting_;
    std::string sending_;
    /// Of the request that is answered; 0 if there is none.
    std::uint64_t number_ = 0;
    time_point waits_since_;
    bool has_begun_ = false;
    bool answering_ = false;
    bool reading_ = false;
    bool writing_ = false;
    bool keep_alive_ = true;
    bool ends_ = false;
    bool half_closed_ = false;
    bool closed_ = false;
    bool told_to_go_on_ = false;
};

void caller_server::state::accept()
{
    acceptor.async_accept(
        [self = shared_from_this()](boost_error error, tcp::socket socket)
        {
            if (!self->acceptor.is_open())
                return;
            if (!error && self->counters.open < self->options.connections)
            {
                ++self->counters.accepted;
                ++self->counters.open;
                auto made = std::make_shared<session>(std::move(socket), self);
                self->sessions.insert(made);
                made->start();
            }
            self->accept();
        });
}

caller_server::caller_server(
    asio::io_context& loop,
    relay& requests,
    caller_server_options options,
    std::function<site::caller_limits()> limits)
    : state_(std::make_shared<state>(
          loop, requests, std::move(options), std::move(limits)))
{
    const endpoint& where = state_->options.address;
    const tcp::endpoint local(asio::ip::make_address(where.ip), where.port);
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
    state_->closing = true;
}

void caller_server::stop_accepting()
{
    boost_error ignored;
    state_->acceptor.close(ignored);
    state_->closing = true;
    const std::set<std::shared_ptr<session>> all = state_->sessions;
    for (const auto& each : all)
        if (each->is_idle())
            each->close();
}

bool caller_server::quiet() const
{
    return state_->sessions.empty();
}

void caller_server::tick()
{
    const time_point now = uptime();
    const site::caller_limits limits = state_->limits();
    const std::set<std::shared_ptr<session>> all = state_->sessions;
    for (const auto& each : all)
        each->check(limits, now);
}

const caller_counters& caller_server::counters() const
{
    return state_->counters;
}

} // namespace bergamotusher::gateway
