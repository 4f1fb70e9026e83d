#include "gateway/upstream_pool.hpp"

#include "base/clock.hpp"
#include "settings/settings.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <limits>
#include <map>
#include <memory>
#include <netinet/tcp.h>
#include <utility>
#include <vector>

namespace bergamotusher::gateway
{

namespace
{

namespace asio = boost::asio;
using tcp = asio::ip::tcp;
using boost_error = boost::system::error_code;

constexpr std::size_t read_size = std::size_t{8} * 1024;

template<int Level, int Name>
using integer_option = asio::detail::socket_option::integer<Level, Name>;

} // namespace

struct upstream_pool::state
{
    state(
        asio::io_context& io,
        const header_codec& chosen,
        pool_options with_options)
        : loop(io), codec(chosen), options(with_options)
    {
    }

    asio::io_context& loop;
    const header_codec& codec;
    pool_options options;
    pool_counters counters;
    /// Idle connections by address, most recently used last.
    std::map<std::string, std::vector<ticket>> idle;
};

class upstream_pool::connection
    : public std::enable_shared_from_this<connection>
{
public:
    connection(std::shared_ptr<state> pool, std::string address)
        : pool_(std::move(pool))
        , address_(std::move(address))
        , socket_(pool_->loop)
        , timer_(pool_->loop)
    {
    }

    void open(outgoing_request request, response_callbacks callbacks)
    {
        start_request(std::move(request), std::move(callbacks));
        const auto target = parse_endpoint(address_);
        boost_error error;
        const auto ip = asio::ip::make_address(target ? target->ip : "", error);
        if (!target || error)
            return asio::post(
                pool_->loop,
                [self = shared_from_this()]
                { self->fail(failure_kind::not_connected, "no address"); });
        ++pool_->counters.connects;
        timer_.expires_after(pool_->options.connect_timeout);
        timer_.async_wait(
            [self = shared_from_this()](boost_error waited)
            {
                if (!waited && !self->connected_)
                    self->fail(failure_kind::not_connected, "connect timeout");
            });
        socket_.async_connect(
            tcp::endpoint(ip, target->port),
            [self = shared_from_this()](boost_error connecting)
            { self->on_connected(connecting); });
    }

    void reuse(outgoing_request request, response_callbacks callbacks)
    {
        ++pool_->counters.reuses;
        reused_ = true;
        start_request(std::move(request), std::move(callbacks));
        write();
    }

    void close()
    {
        closed_ = true;
        busy_ = false;
        callbacks_.reset();
        timer_.cancel();
        boost_error ignored;
        socket_.close(ignored);
    }

    bool closed() const
    {
        return closed_;
    }
    const std::string& address() const
    {
        return address_;
    }
    /// Of the request before.
    const std::string& last_attempt_id() const
    {
        return last_attempt_id_;
    }
    time_point idle_since() const
    {
        return idle_since_;
    }
    time_point usable_until() const
    {
        return idle_since_ + idle_timeout_ - pool_->options.idle_margin;
    }

private:
    void start_request(outgoing_request request, response_callbacks callbacks)
    {
        busy_ = true;
        request_ = std::move(request);
        callbacks_ = std::make_shared<response_callbacks>(std::move(callbacks));
        close_after_answer_ = false;
        request_written_ = false;
        skipped_answers_ = 0;
        skipped_bytes_ = 0;
        idle_timeout_ = pool_->options.idle_timeout;
        reset_parser();
    }

    void reset_parser()
    {
        parser_.emplace();
        parser_->eager(true);
        parser_->header_limit(pool_->options.header_bytes_max);
        // The owner of the request limits what it buffers.
        parser_->body_limit(std::numeric_limits<std::uint64_t>::max());
        parser_->skip(request_.is_head_request);
        head_delivered_ = false;
    }

    void on_connected(boost_error error)
    {
        if (closed_)
            return;
        timer_.cancel();
        if (error)
            return fail(failure_kind::not_connected, error.message());
        connected_ = true;
        set_socket_options();
        read();
        write();
    }

    void set_socket_options()
    {
        const pool_options& options = pool_->options;
        boost_error ignored;
        socket_.set_option(tcp::no_delay(true), ignored);
        socket_.set_option(
            integer_option<IPPROTO_TCP, TCP_USER_TIMEOUT>(
                static_cast<int>(options.unacknowledged_timeout / 1ms)),
            ignored);
        socket_.set_option(asio::socket_base::keep_alive(true), ignored);
        const int interval_seconds =
            static_cast<int>(options.keepalive_interval / 1s);
        socket_.set_option(
            integer_option<IPPROTO_TCP, TCP_KEEPIDLE>(interval_seconds),
            ignored);
        socket_.set_option(
            integer_option<IPPROTO_TCP, TCP_KEEPINTVL>(interval_seconds),
            ignored);
        socket_.set_option(
            integer_option<IPPROTO_TCP, TCP_KEEPCNT>(2), ignored);
    }

    void write()
    {
        asio::async_write(
            socket_,
            asio::buffer(request_.bytes),
            [self = shared_from_this()](boost_error error, std::size_t)
            {
                if (self->closed_)
                    return;
                if (!error)
                {
                    self->request_written_ = true;
                    // The answer was complete before the whole request was
                    // written.
                    if (!self->busy_)
                        self->return_to_pool();
                    return;
                }
                // An answer that the upstream sent before it closed the
                // connection can still be read.
                self->close_after_answer_ = true;
                self->write_error_ = error;
            });
    }

    void read()
    {
        socket_.async_read_some(
            asio::buffer(chunk_),
            [self = shared_from_this()](boost_error error, std::size_t size)
            { self->on_read(error, size); });
    }

    void on_read(boost_error error, std::size_t size)
    {
        if (closed_)
            return;
        if (!busy_)
        {
            // Without a request in progress the upstream can only close the
            // connection or send bytes that belong to no request.
            if (size > 0)
                ++pool_->counters.stray_bytes;
            return close_idle_connection();
        }
        if (error)
            return on_end_of_input(error);
        buffer_.append(chunk_.data(), size);
        parse();
        if (!closed_)
            read();
    }

    void on_end_of_input(boost_error error)
    {
        // A write that fails clears the socket's error, so that a reset looks
        // like an end here. A broken pipe means that the end came before it.
        if (write_error_ && write_error_ != asio::error::broken_pipe)
            error = write_error_;
        if (error == asio::error::eof && parser_->has_header &&
            !parser_->is_done())
        {
            // An answer without a length ends when its connection is closed.
            boost::beast::error_code ended;
            parser_->put_eof(ended);
            if (!ended && parser_->is_done() && !is_stray())
            {
                close_after_answer_ = true;
                answer_complete_ = true;
                return finish_if_complete();
            }
        }
        fail(failure_kind::connection_lost, error.message());
    }

    void parse()
    {
        const auto self = shared_from_this();
        while (busy_ && !closed_ && !answer_complete_ && !buffer_.empty())
        {
            boost::beast::error_code error;
            const parse_outcome outcome = feed(*parser_, buffer_, error);
            if (outcome == parse_outcome::malformed)
                return fail(failure_kind::malformed, error.message());
            if (!deliver_answer())
                return;
            if (outcome == parse_outcome::needs_more)
                return check_unparsed_bytes();
            if (is_stray() || is_interim())
            {
                // A late answer to an earlier request is skipped.
                ++pool_->counters.stray_answers;
                if (++skipped_answers_ > pool_->options.skipped_answers_max)
                    return fail(
                        failure_kind::malformed, "answers that nobody awaits");
                reset_parser();
                continue;
            }
            answer_complete_ = true;
            finish_if_complete();
        }
    }

    /// Lines, chunk headers and trailers are parsed only once they are
    /// complete.
    void check_unparsed_bytes()
    {
        if (buffer_.size() > pool_->options.header_bytes_max)
            fail(failure_kind::malformed, "a line without end");
        else if (skipped_bytes_ > pool_->options.skipped_bytes_max)
            fail(failure_kind::malformed, "an answer that nobody awaits");
    }

    bool is_interim() const
    {
        constexpr int first_final_status = 200;
        return parser_->status < first_final_status;
    }

    bool is_stray() const
    {
        return !facts_.attempt.empty() && facts_.attempt != request_.attempt_id;
    }

    /// The answer may be a copy of one to an earlier request on the connection.
    bool is_unattributed() const
    {
        return reused_ && !is_interim() && facts_.attempt.empty() &&
               !request_.attempt_id.empty();
    }

    /// Passes parsed parts of the answer to the callbacks; false if the owner
    /// cancelled the request.
    bool deliver_answer()
    {
        if (!parser_->has_header)
            return true;
        if (!head_delivered_)
        {
            head_delivered_ = true;
            if (const char* fault = find_head_fault(*parser_))
            {
                fail(failure_kind::malformed, fault);
                return false;
            }
            facts_ = pool_->codec.read_answer(parser_->status, parser_->fields);
            close_after_answer_ = close_after_answer_ || facts_.closes;
            if (facts_.idle_time)
                idle_timeout_ = *facts_.idle_time;
            if (is_unattributed())
            {
                fail(
                    failure_kind::malformed,
                    "an answer on a reused connection names no request");
                return false;
            }
            // A callback may cancel the request, which drops the callbacks.
            const auto callbacks = callbacks_;
            if (!is_stray() && !is_interim() && callbacks && callbacks->on_head)
                callbacks->on_head(*parser_, facts_);
        }
        if (closed_)
            return false;
        if (is_stray())
        {
            skipped_bytes_ += parser_->body.size();
            parser_->body.clear();
            return true;
        }
        if (!parser_->body.empty())
        {
            const std::string piece = std::move(parser_->body);
            parser_->body.clear();
            const auto callbacks = callbacks_;
            if (callbacks && callbacks->on_body)
                callbacks->on_body(piece);
        }
        return !closed_;
    }

    void finish_if_complete()
    {
        if (!answer_complete_ || !busy_)
            return;
        if (!deliver_answer())
            return;
        const auto self = shared_from_this();
        const auto callbacks = std::exchange(callbacks_, nullptr);
        answer_complete_ = false;
        busy_ = false;
        if (!buffer_.empty())
        {
            ++pool_->counters.stray_bytes;
            close_after_answer_ = true;
        }
        if (close_after_answer_)
            close();
        else if (request_written_)
            return_to_pool();
        if (callbacks && callbacks->on_complete)
            callbacks->on_complete();
    }

    void return_to_pool()
    {
        idle_since_ = uptime();
        last_attempt_id_ = std::exchange(request_, {}).attempt_id;
        auto& idle = pool_->idle[address_];
        if (idle.size() >= pool_->options.idle_connections_max)
            return close();
        idle.push_back(shared_from_this());
    }

    void close_idle_connection()
    {
        const auto self = shared_from_this();
        auto& idle = pool_->idle[address_];
        for (auto i = idle.begin(); i != idle.end(); ++i)
            if (i->get() == this)
            {
                idle.erase(i);
                break;
            }
        close();
    }

    void fail(failure_kind kind, const std::string& detail)
    {
        if (closed_)
            return;
        if (kind == failure_kind::not_connected)
            ++pool_->counters.connect_failures;
        const auto self = shared_from_this();
        const auto callbacks = callbacks_;
        close();
        if (callbacks && callbacks->on_failed)
            callbacks->on_failed(kind, detail);
    }

    std::shared_ptr<state> pool_;
    std::string address_;
    tcp::socket socket_;
    asio::steady_timer timer_;
    std::array<char, read_size> chunk_{};
    std::string buffer_;
    std::optional<answer_parser> parser_;
    outgoing_request request_;
    std::string last_attempt_id_;
    std::shared_ptr<response_callbacks> callbacks_;
    answer_metadata facts_;
    duration idle_timeout_{};
    time_point idle_since_;
    boost_error write_error_;
    bool connected_ = false;
    bool reused_ = false;
    bool busy_ = false;
    bool closed_ = false;
    bool request_written_ = false;
    bool answer_complete_ = false;
    bool head_delivered_ = false;
    bool close_after_answer_ = false;
    /// Answers, and bytes of them, that were skipped during this request.
    std::size_t skipped_answers_ = 0;
    std::size_t skipped_bytes_ = 0;
};

upstream_pool::upstream_pool(
    asio::io_context& loop, const header_codec& codec, pool_options options)
    : state_(std::make_shared<state>(loop, codec, options))
{
}

upstream_pool::~upstream_pool()
{
    for (const auto& [address, connections] : std::exchange(state_->idle, {}))
        for (const ticket& each : connections)
            each->close();
}

upstream_pool::ticket
upstream_pool::send(outgoing_request request, response_callbacks callbacks)
{
    const time_point now = uptime();
    auto& idle = state_->idle[request.address];
    while (!idle.empty())
    {
        ticket last = idle.back();
        idle.pop_back();
        // Requests that must not run twice use only the first half of the
        // usable time: after a failure on a reused connection the request may
        // have run.
        const duration usable = last->usable_until() - last->idle_since();
        const time_point until =
            last->idle_since() + (request.at_most_once ? usable / 2 : usable);
        // A late copy of the answer before could not be told from the answer to
        // a request with the same id, or to another one without an id.
        if (now >= until || last->last_attempt_id() == request.attempt_id)
        {
            last->close();
            continue;
        }
        last->reuse(std::move(request), std::move(callbacks));
        return last;
    }
    auto created = std::make_shared<connection>(state_, request.address);
    created->open(std::move(request), std::move(callbacks));
    return created;
}

void upstream_pool::probe(
    const std::string& address, std::function<void(bool accepted)> done)
{
    struct probe_attempt
    {
        tcp::socket socket;
        asio::steady_timer timer;
        std::function<void(bool)> done;
    };
    const auto target = parse_endpoint(address);
    boost_error error;
    const auto ip = asio::ip::make_address(target ? target->ip : "", error);
    if (!target || error)
        return asio::post(
            state_->loop, [done = std::move(done)] { done(false); });
    ++state_->counters.connects;
    auto attempt = std::make_shared<probe_attempt>(probe_attempt{
        tcp::socket(state_->loop),
        asio::steady_timer(state_->loop, state_->options.connect_timeout),
        std::move(done)});
    attempt->timer.async_wait(
        [attempt](boost_error waited)
        {
            boost_error ignored;
            if (!waited)
                attempt->socket.close(ignored);
        });
    attempt->socket.async_connect(
        tcp::endpoint(ip, target->port),
        [attempt](boost_error connecting)
        {
            attempt->timer.cancel();
            attempt->done(!connecting);
        });
}

void upstream_pool::cancel(const ticket& sent)
{
    if (sent)
        sent->close();
}

void upstream_pool::close_idle(const std::string& address)
{
    const auto found = state_->idle.find(address);
    if (found == state_->idle.end())
        return;
    for (const ticket& each : found->second)
        each->close();
    state_->idle.erase(found);
}

void upstream_pool::close_expired()
{
    const time_point now = uptime();
    for (auto i = state_->idle.begin(); i != state_->idle.end();)
    {
        auto& connections = i->second;
        for (auto each = connections.begin(); each != connections.end();)
        {
            if (now < (*each)->usable_until())
            {
                ++each;
                continue;
            }
            (*each)->close();
            each = connections.erase(each);
        }
        i = connections.empty() ? state_->idle.erase(i) : std::next(i);
    }
}

const pool_counters& upstream_pool::counters() const
{
    return state_->counters;
}

} // namespace bergamotusher::gateway
