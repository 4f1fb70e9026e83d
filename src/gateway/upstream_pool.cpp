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
#include <netinet/tcp.h>
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
        asio::io_context& io, const dialect& chosen, pool_options with_options)
        : loop(io), words(chosen), options(with_options)
    {
    }

    asio::io_context& loop;
    const dialect& words;
    pool_options options;
    pool_counters counters;
    /// Idle connections by address, the one used last at the end.
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

    void open(outgoing_request request, send_events events)
    {
        begin(std::move(request), std::move(events));
        const auto where = parse_endpoint(address_);
        boost_error error;
        const auto ip = asio::ip::make_address(where ? where->ip : "", error);
        if (!where || error)
            return asio::post(
                pool_->loop,
                [self = shared_from_this()]
                { self->fail(break_kind::not_connected, "no address"); });
        ++pool_->counters.connects;
        timer_.expires_after(pool_->options.connect_time);
        timer_.async_wait(
            [self = shared_from_this()](boost_error waited)
            {
                if (!waited && !self->connected_)
                    self->fail(break_kind::not_connected, "connect timeout");
            });
        socket_.async_connect(
            tcp::endpoint(ip, where->port),
            [self = shared_from_this()](boost_error connecting)
            { self->on_connected(connecting); });
    }

    void reuse(outgoing_request request, send_events events)
    {
        ++pool_->counters.reuses;
        begin(std::move(request), std::move(events));
        write();
    }

    void close()
    {
        closed_ = true;
        busy_ = false;
        events_ = {};
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
    time_point idle_since() const
    {
        return idle_since_;
    }
    time_point usable_until() const
    {
        return idle_since_ + idle_time_ - pool_->options.idle_margin;
    }

private:
    void begin(outgoing_request request, send_events events)
    {
        busy_ = true;
        request_ = std::move(request);
        events_ = std::move(events);
        closes_after_ = false;
        written_ = false;
        idle_time_ = pool_->options.idle_time;
        reset_parser();
    }

    void reset_parser()
    {
        parser_.emplace();
        parser_->eager(true);
        parser_->header_limit(pool_->options.header_bytes);
        // The holder of the request bounds what it keeps.
        parser_->body_limit(std::numeric_limits<std::uint64_t>::max());
        parser_->skip(request_.is_head);
        head_told_ = false;
    }

    void on_connected(boost_error error)
    {
        if (closed_)
            return;
        timer_.cancel();
        if (error)
            return fail(break_kind::not_connected, error.message());
        connected_ = true;
        set_options();
        read();
        write();
    }

    void set_options()
    {
        const pool_options& options = pool_->options;
        boost_error ignored;
        socket_.set_option(tcp::no_delay(true), ignored);
        socket_.set_option(
            integer_option<IPPROTO_TCP, TCP_USER_TIMEOUT>(
                static_cast<int>(options.unacknowledged_time / 1ms)),
            ignored);
        socket_.set_option(asio::socket_base::keep_alive(true), ignored);
        const int probe = static_cast<int>(options.probe_time / 1s);
        socket_.set_option(
            integer_option<IPPROTO_TCP, TCP_KEEPIDLE>(probe), ignored);
        socket_.set_option(
            integer_option<IPPROTO_TCP, TCP_KEEPINTVL>(probe), ignored);
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
                    self->written_ = true;
                    // The upstream answered before it had read everything.
                    if (!self->busy_)
                        self->go_idle();
                    return;
                }
                // What the upstream answered before it broke off still comes
                // by the read.
                self->closes_after_ = true;
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
            // Nothing was asked: the upstream closes, or sends what belongs to
            // no request.
            if (size > 0)
                ++pool_->counters.stray_bytes;
            return drop_idle();
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
        if (error == asio::error::eof && parser_->has_header &&
            !parser_->is_done())
        {
            // An answer without a length ends with its connection.
            boost::beast::error_code ended;
            parser_->put_eof(ended);
            if (!ended && parser_->is_done() && !is_stray())
            {
                closes_after_ = true;
                whole_ = true;
                return finish_if_whole();
            }
        }
        fail(break_kind::lost, error.message());
    }

    void parse()
    {
        const auto self = shared_from_this();
        while (busy_ && !closed_ && !whole_ && !buffer_.empty())
        {
            boost::beast::error_code error;
            const parse_outcome outcome = feed(*parser_, buffer_, error);
            if (outcome == parse_outcome::malformed)
                return fail(break_kind::malformed, error.message());
            if (!tell())
                return;
            if (outcome == parse_outcome::needs_more)
                return;
            if (is_stray())
            {
                // The answer to an earlier request that came late.
                ++pool_->counters.stray_answers;
                reset_parser();
                continue;
            }
            whole_ = true;
            finish_if_whole();
        }
    }

    bool is_stray() const
    {
        return !facts_.attempt.empty() && facts_.attempt != request_.attempt;
    }

    /// Passes on what the parser has; false if the owner ended the request.
    bool tell()
    {
        if (!parser_->has_header)
            return true;
        if (!head_told_)
        {
            head_told_ = true;
            facts_ = pool_->words.read_answer(parser_->status, parser_->fields);
            closes_after_ = closes_after_ || facts_.closes;
            if (facts_.idle_time)
                idle_time_ = *facts_.idle_time;
            if (!is_stray() && events_.head)
                events_.head(*parser_, facts_);
        }
        if (closed_)
            return false;
        if (is_stray())
        {
            parser_->body.clear();
            return true;
        }
        if (!parser_->body.empty())
        {
            const std::string piece = std::move(parser_->body);
            parser_->body.clear();
            if (events_.body)
                events_.body(piece);
        }
        return !closed_;
    }

    void finish_if_whole()
    {
        if (!whole_ || !busy_)
            return;
        if (!tell())
            return;
        const auto self = shared_from_this();
        const auto ended = std::move(events_.ended);
        events_ = {};
        whole_ = false;
        busy_ = false;
        if (!buffer_.empty())
        {
            ++pool_->counters.stray_bytes;
            closes_after_ = true;
        }
        if (closes_after_)
            close();
        else if (written_)
            go_idle();
        if (ended)
            ended();
    }

    void go_idle()
    {
        idle_since_ = uptime();
        request_ = {};
        auto& idle = pool_->idle[address_];
        if (idle.size() >= pool_->options.idle_max)
            return close();
        idle.push_back(shared_from_this());
    }

    void drop_idle()
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

    void fail(break_kind kind, const std::string& detail)
    {
        if (closed_)
            return;
        if (kind == break_kind::not_connected)
            ++pool_->counters.connect_failures;
        const auto self = shared_from_this();
        const auto broken = std::move(events_.broken);
        close();
        if (broken)
            broken(kind, detail);
    }

    std::shared_ptr<state> pool_;
    std::string address_;
    tcp::socket socket_;
    asio::steady_timer timer_;
    std::array<char, read_size> chunk_{};
    std::string buffer_;
    std::optional<answer_parser> parser_;
    outgoing_request request_;
    send_events events_;
    answer_facts facts_;
    duration idle_time_{};
    time_point idle_since_;
    bool connected_ = false;
    bool busy_ = false;
    bool closed_ = false;
    bool written_ = false;
    bool whole_ = false;
    bool head_told_ = false;
    bool closes_after_ = false;
};

upstream_pool::upstream_pool(
    asio::io_context& loop, const dialect& words, pool_options options)
    : state_(std::make_shared<state>(loop, words, options))
{
}

upstream_pool::~upstream_pool()
{
    for (const auto& [address, connections] : std::exchange(state_->idle, {}))
        for (const ticket& each : connections)
            each->close();
}

upstream_pool::ticket
upstream_pool::send(outgoing_request request, send_events events)
{
    const time_point now = uptime();
    auto& idle = state_->idle[request.address];
    while (!idle.empty())
    {
        ticket last = idle.back();
        idle.pop_back();
        // Half of the time that is left to the others: what breaks on a kept
        // connection may have run.
        const duration usable = last->usable_until() - last->idle_since();
        const time_point until =
            last->idle_since() + (request.is_careful ? usable / 2 : usable);
        if (now >= until)
        {
            last->close();
            continue;
        }
        last->reuse(std::move(request), std::move(events));
        return last;
    }
    auto made = std::make_shared<connection>(state_, request.address);
    made->open(std::move(request), std::move(events));
    return made;
}

void upstream_pool::cancel(const ticket& sent)
{
    if (sent)
        sent->close();
}

void upstream_pool::forget(const std::string& address)
{
    const auto found = state_->idle.find(address);
    if (found == state_->idle.end())
        return;
    for (const ticket& each : found->second)
        each->close();
    state_->idle.erase(found);
}

void upstream_pool::expire()
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
