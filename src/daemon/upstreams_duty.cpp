#include "daemon/upstreams_duty.hpp"

#include "adapters/engine.hpp"
#include "daemon/outbox.hpp"
#include "settings/settings.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <limits>
#include <map>
#include <optional>
#include <sstream>
#include <unordered_map>

namespace bergamotusher
{

namespace beast = boost::beast;
namespace http = beast::http;
namespace asio = boost::asio;
using tcp = asio::ip::tcp;
using boost_error = boost::system::error_code;

namespace
{

constexpr std::size_t read_size = std::size_t{16} << 10;
constexpr auto congestion_pause = 1ms;
constexpr int too_many_requests = 429;
constexpr int unavailable = 503;
constexpr int first_server_error = 500;
constexpr int success = 200;

class attempt;

using stream_ptr = std::unique_ptr<beast::tcp_stream>;

} // namespace

struct upstreams_duty::state
{
    state(
        asio::io_context& l,
        mailbox<serving_input>& serving,
        upstreams_options limits)
        : loop(l), out(l, serving), options(limits)
    {
    }

    asio::io_context& loop;
    outbox<serving_input> out;
    upstreams_options options;
    upstreams_counters counters;
    std::unordered_map<attempt_id, std::shared_ptr<attempt>> attempts;
    std::map<std::string, std::vector<stream_ptr>> idle;
};

namespace
{

using duty_state = upstreams_duty::state;

bool still_open(beast::tcp_stream& stream)
{
    char byte = 0;
    boost_error error;
    stream.socket().non_blocking(true, error);
    stream.socket().receive(
        asio::buffer(&byte, 1), tcp::socket::message_peek, error);
    return error == asio::error::would_block;
}

stream_ptr take_idle(duty_state& duty, const std::string& address)
{
    auto& streams = duty.idle[address];
    while (!streams.empty())
    {
        stream_ptr stream = std::move(streams.back());
        streams.pop_back();
        if (still_open(*stream))
            return stream;
    }
    return nullptr;
}

std::string request_text(const dispatch& wanted)
{
    http::request<http::empty_body> head;
    head.version(11);
    head.method_string(wanted.method);
    head.target(wanted.path);
    head.set(http::field::host, wanted.address);
    head.set("X-Request-Id", wanted.attempt.value);
    if (!wanted.content_type.empty())
        head.set(http::field::content_type, wanted.content_type);
    if (!wanted.idempotency_key.empty())
        head.set("Idempotency-Key", wanted.idempotency_key);
    std::string body = wanted.body;
    if (wanted.kind == upstream_kind::engine)
        if (auto shaped = engine::to_engine_body(body, wanted.priority))
            body = std::move(*shaped);
    head.content_length(body.size());
    std::ostringstream text;
    text << head.base() << body;
    return text.str();
}

// One dispatch on one connection. `over_` is set once its end was told.
class attempt : public std::enable_shared_from_this<attempt>
{
public:
    attempt(std::shared_ptr<duty_state> duty, dispatch wanted)
        : duty_(std::move(duty))
        , wanted_(std::move(wanted))
        , stream_(std::make_unique<beast::tcp_stream>(duty_->loop))
        , pause_(duty_->loop)
        , text_(request_text(wanted_))
    {
    }

    void start()
    {
        // A connection that was idle can be closing; a request that runs at
        // most once must not find out by being sent.
        auto idle = wanted_.idempotency_key.empty()
                        ? take_idle(*duty_, wanted_.address)
                        : nullptr;
        if (!idle)
            return connect();
        ++duty_->counters.reused;
        reused_ = true;
        stream_ = std::move(idle);
        send();
    }

    void cancel()
    {
        over_ = true;
        close();
    }

private:
    void connect()
    {
        reused_ = false;
        const auto address = parse_endpoint(wanted_.address);
        if (!address)
            return fail(attempt_failure::connection_refused, "bad address");
        stream_->expires_after(duty_->options.connect_time);
        stream_->async_connect(
            tcp::endpoint(asio::ip::make_address(address->ip), address->port),
            [self = shared_from_this()](boost_error error)
            {
                if (self->over_)
                    return;
                // On a second try after a reused connection broke, the first
                // one may have carried the request.
                if (error)
                    return self->fail(
                        self->told_sent_ ? attempt_failure::broken
                                         : attempt_failure::connection_refused,
                        error.message());
                ++self->duty_->counters.connected;
                boost_error ignored;
                self->stream_->socket().set_option(
                    tcp::no_delay(true), ignored);
                self->send();
            });
    }

    void send()
    {
        stream_->expires_after(wanted_.silence_limit);
        asio::async_write(
            *stream_,
            asio::buffer(text_),
            [self = shared_from_this()](boost_error error, std::size_t)
            {
                if (self->over_)
                    return;
                if (error)
                    return self->lost(error);
                if (!self->told_sent_)
                    self->tell(attempt_sent{self->wanted_.attempt});
                self->told_sent_ = true;
                self->read_head();
            });
    }

    void read_head()
    {
        parser_.emplace();
        parser_->header_limit(duty_->options.header_bytes);
        // Streams are as long as they are; whole answers are limited below.
        parser_->body_limit(std::numeric_limits<std::uint64_t>::max());
        stream_->expires_after(wanted_.silence_limit);
        http::async_read_header(
            *stream_,
            buffer_,
            *parser_,
            [self = shared_from_this()](boost_error error, std::size_t)
            {
                if (self->over_)
                    return;
                if (error)
                    return self->lost(error);
                self->on_head();
            });
    }

    void on_head()
    {
        answered_ = true;
        const auto& head = parser_->get();
        status_ = static_cast<int>(head.result_int());
        content_type_ = std::string(head[http::field::content_type]);
        const auto echoed = std::string(head["X-Request-Id"]);
        const bool is_engine = wanted_.kind == upstream_kind::engine;
        if ((is_engine || !echoed.empty()) && echoed != wanted_.attempt.value)
        {
            ++duty_->counters.crossed_answers;
            return fail(attempt_failure::malformed, "another request's answer");
        }
        if (status_ == too_many_requests ||
            (is_engine && status_ == unavailable))
            return fail(attempt_failure::refused, "refused");
        if (status_ >= first_server_error)
            return fail(attempt_failure::server_error, "server error");
        streaming_ = is_engine && status_ == success &&
                     content_type_.rfind("text/event-stream", 0) == 0;
        if (is_engine && status_ == success && !streaming_)
            return fail(attempt_failure::malformed, "not a stream of events");
        read_body();
    }

    void read_body()
    {
        if (duty_->out.congested())
            return read_later();
        if (parser_->is_done())
            return on_whole();
        auto& body = parser_->get().body();
        body.data = chunk_.data();
        body.size = chunk_.size();
        stream_->expires_after(wanted_.silence_limit);
        http::async_read_some(
            *stream_,
            buffer_,
            *parser_,
            [self = shared_from_this()](boost_error error, std::size_t)
            { self->on_body(error); });
    }

    void read_later()
    {
        pause_.expires_after(congestion_pause);
        pause_.async_wait(
            [self = shared_from_this()](boost_error)
            {
                if (!self->over_)
                    self->read_body();
            });
    }

    void on_body(const boost_error& error)
    {
        if (over_)
            return;
        if (error && error != http::error::need_buffer)
            return lost(error);
        const std::size_t size = chunk_.size() - parser_->get().body().size;
        const std::string_view bytes(chunk_.data(), size);
        if (streaming_)
            take_events(bytes);
        else
            body_ += bytes;
        if (over_)
            return;
        if (body_.size() > duty_->options.body_bytes)
            return fail(attempt_failure::malformed, "the answer is too large");
        read_body();
    }

    void take_events(std::string_view bytes)
    {
        for (auto& event : engine::feed(events_, bytes))
        {
            if (auto* piece = std::get_if<engine::text_piece>(&event))
                tell(attempt_token{
                    wanted_.attempt, next_token_++, std::move(piece->text)});
            else if (std::holds_alternative<engine::done>(event))
                done_ = true;
            else if (auto* bad = std::get_if<engine::malformed>(&event))
                return fail(attempt_failure::malformed, bad->reason);
        }
    }

    void on_whole()
    {
        if (streaming_ && !done_)
            return fail(attempt_failure::broken, "cut before its end mark");
        over_ = true;
        attempt_finished end;
        end.attempt = wanted_.attempt;
        end.status = status_;
        end.content_type = content_type_;
        end.body = std::move(body_);
        end.finish_reason = events_.last.reason;
        end.prompt_tokens = events_.last.prompt_tokens;
        end.cached_tokens = events_.last.cached_tokens;
        end.answered_tokens = events_.last.answered_tokens;
        if (streaming_)
            end.pieces = next_token_;
        duty_->out.send(std::move(end));
        keep_connection();
        forget();
    }

    void keep_connection()
    {
        auto& streams = duty_->idle[wanted_.address];
        if (!parser_->keep_alive() || buffer_.size() > 0 ||
            streams.size() >= duty_->options.idle_connections)
            return close();
        stream_->expires_never();
        streams.push_back(std::move(stream_));
    }

    void lost(const boost_error& error)
    {
        if (reused_ && !answered_ && error != beast::error::timeout)
        {
            stream_->close();
            stream_ = std::make_unique<beast::tcp_stream>(duty_->loop);
            buffer_.clear();
            return connect();
        }
        const bool protocol =
            error.category() ==
                make_error_code(http::error::bad_version).category() &&
            error != http::error::end_of_stream &&
            error != http::error::partial_message;
        const auto reason = error == beast::error::timeout
                                ? attempt_failure::silent
                            : protocol ? attempt_failure::malformed
                                       : attempt_failure::broken;
        fail(reason, error.message());
    }

    void fail(attempt_failure reason, const std::string& detail)
    {
        if (over_)
            return;
        over_ = true;
        duty_->out.send(
            attempt_failed{wanted_.attempt, reason, status_, detail});
        close();
        forget();
    }

    void tell(serving_input input)
    {
        duty_->out.send(std::move(input));
    }

    void close()
    {
        if (stream_)
            stream_->close();
        pause_.cancel();
    }

    void forget()
    {
        duty_->attempts.erase(wanted_.attempt);
    }

    std::shared_ptr<duty_state> duty_;
    dispatch wanted_;
    stream_ptr stream_;
    asio::steady_timer pause_;
    std::string text_;
    beast::flat_buffer buffer_;
    std::optional<http::response_parser<http::buffer_body>> parser_;
    std::vector<char> chunk_ = std::vector<char>(read_size);
    engine::stream_parser events_;
    std::string body_;
    std::string content_type_;
    std::uint64_t next_token_ = 0;
    int status_ = 0;
    bool reused_ = false;
    bool told_sent_ = false;
    bool answered_ = false;
    bool streaming_ = false;
    bool done_ = false;
    bool over_ = false;
};

} // namespace

upstreams_duty::upstreams_duty(
    asio::io_context& loop,
    mailbox<serving_input>& serving,
    upstreams_options options)
    : state_(std::make_shared<state>(loop, serving, options))
{
}

upstreams_duty::~upstreams_duty() = default;

void upstreams_duty::take(serving_action&& action)
{
    if (auto* wanted = std::get_if<dispatch>(&action))
    {
        ++state_->counters.dispatched;
        const attempt_id id = wanted->attempt;
        auto one = std::make_shared<attempt>(state_, std::move(*wanted));
        state_->attempts[id] = one;
        one->start();
    }
    else if (auto* unwanted = std::get_if<cancel_attempt>(&action))
    {
        const auto found = state_->attempts.find(unwanted->attempt);
        if (found == state_->attempts.end())
            return;
        ++state_->counters.cancelled;
        const auto one = found->second;
        state_->attempts.erase(found);
        one->cancel();
    }
}

const upstreams_counters& upstreams_duty::counters() const
{
    return state_->counters;
}

} // namespace bergamotusher
