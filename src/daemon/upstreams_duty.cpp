#include "daemon/upstreams_duty.hpp"

#include "adapters/engine.hpp"
#include "daemon/http_buffer.hpp"
#include "daemon/outbox.hpp"
#include "settings/settings.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <limits>
#include <map>
#include <optional>
#include <sstream>
#include <unordered_map>
#include <utility>

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
constexpr auto congestion_retry_interval = 1ms;
constexpr int too_many_requests = 429;
constexpr int service_unavailable = 503;
constexpr int first_server_error = 500;
constexpr int http_ok = 200;

class attempt;

using stream_ptr = std::unique_ptr<beast::tcp_stream>;

} // namespace

struct upstreams_duty::state
{
    state(
        asio::io_context& io_loop,
        mailbox<serving_input>& serving,
        upstreams_options limits)
        : loop(io_loop), to_serving(io_loop, serving), options(limits)
    {
    }

    asio::io_context& loop;
    outbox<serving_input> to_serving;
    upstreams_options options;
    upstreams_counters counters;
    std::unordered_map<attempt_id, std::shared_ptr<attempt>> attempts;
    std::map<std::string, std::vector<stream_ptr>> idle;
    /// Of all attempts.
    std::size_t buffered_bytes = 0;
};

namespace
{

using duty_state = upstreams_duty::state;

bool is_open(beast::tcp_stream& stream)
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
        if (is_open(*stream))
            return stream;
    }
    return nullptr;
}

std::string serialize_request(const dispatch& request)
{
    http::request<http::empty_body> head;
    head.version(11);
    head.method_string(request.method);
    head.target(request.path);
    head.set(http::field::host, request.address);
    head.set("X-Request-Id", request.attempt.value);
    if (!request.content_type.empty())
        head.set(http::field::content_type, request.content_type);
    if (!request.idempotency_key.empty())
        head.set("Idempotency-Key", request.idempotency_key);
    std::string body = request.body;
    if (request.kind == upstream_kind::engine)
        if (auto engine_body = engine::to_engine_body(body, request.priority))
            body = std::move(*engine_body);
    head.content_length(body.size());
    std::ostringstream text;
    text << head.base() << body;
    return text.str();
}

// One dispatch. It uses one connection, or a second one if a reused connection
// broke before the response head. `ended_` is set once the outcome was reported
// or the attempt was cancelled.
class attempt : public std::enable_shared_from_this<attempt>
{
public:
    attempt(std::shared_ptr<duty_state> duty, dispatch request)
        : duty_(std::move(duty))
        , dispatch_(std::move(request))
        , stream_(std::make_unique<beast::tcp_stream>(duty_->loop))
        , retry_timer_(duty_->loop)
        , request_bytes_(serialize_request(dispatch_))
    {
    }

    void start()
    {
        // The upstream may be closing an idle connection. A request with an
        // idempotency key must run at most once and is not sent on one, since a
        // break would leave open whether it ran.
        auto idle = dispatch_.idempotency_key.empty()
                        ? take_idle(*duty_, dispatch_.address)
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
        ended_ = true;
        drop_buffered();
        close();
    }

    std::size_t buffered_bytes() const
    {
        return buffered_bytes_;
    }

    void fail(attempt_failure reason, const std::string& detail)
    {
        if (ended_)
            return;
        ended_ = true;
        duty_->to_serving.send(
            attempt_failed{dispatch_.attempt, reason, status_, detail});
        drop_buffered();
        close();
        unregister();
    }

private:
    void connect()
    {
        reused_ = false;
        const auto address = parse_endpoint(dispatch_.address);
        if (!address)
            return fail(attempt_failure::connection_refused, "bad address");
        stream_->expires_after(duty_->options.connect_timeout);
        stream_->async_connect(
            tcp::endpoint(asio::ip::make_address(address->ip), address->port),
            [self = shared_from_this()](boost_error error)
            {
                if (self->ended_)
                    return;
                // If this connection replaces a reused one that broke, the
                // request may have arrived on the first connection.
                if (error)
                    return self->fail(
                        self->sent_reported_
                            ? attempt_failure::broken
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
        stream_->expires_after(dispatch_.silence_limit);
        asio::async_write(
            *stream_,
            asio::buffer(request_bytes_),
            [self = shared_from_this()](boost_error error, std::size_t)
            {
                if (self->ended_)
                    return;
                if (error)
                    return self->on_connection_error(error);
                if (!self->sent_reported_)
                    self->report(attempt_sent{self->dispatch_.attempt});
                self->sent_reported_ = true;
                self->read_head();
            });
    }

    void read_head()
    {
        parser_.emplace();
        parser_->header_limit(duty_->options.header_bytes);
        // Streams have no size limit. `on_body` limits other responses.
        parser_->body_limit(std::numeric_limits<std::uint64_t>::max());
        stream_->expires_after(dispatch_.silence_limit);
        http::async_read_header(
            *stream_,
            buffer_,
            *parser_,
            [self = shared_from_this()](boost_error error, std::size_t)
            {
                if (self->ended_)
                    return;
                if (error)
                    return self->on_connection_error(error);
                self->on_head();
            });
    }

    void on_head()
    {
        head_received_ = true;
        const auto& head = parser_->get();
        status_ = static_cast<int>(head.result_int());
        content_type_ = std::string(head[http::field::content_type]);
        const auto echoed = std::string(head["X-Request-Id"]);
        const bool is_engine = dispatch_.kind == upstream_kind::engine;
        if ((is_engine || !echoed.empty()) && echoed != dispatch_.attempt.value)
        {
            ++duty_->counters.mismatched_answers;
            return fail(attempt_failure::malformed, "another request's answer");
        }
        if (status_ == too_many_requests ||
            (is_engine && status_ == service_unavailable))
            return fail(attempt_failure::refused, "refused");
        if (status_ >= first_server_error)
            return fail(attempt_failure::server_error, "server error");
        streaming_ = is_engine && status_ == http_ok &&
                     content_type_.rfind("text/event-stream", 0) == 0;
        if (is_engine && status_ == http_ok && !streaming_)
            return fail(attempt_failure::malformed, "not a stream of events");
        read_body();
    }

    void read_body()
    {
        if (duty_->to_serving.congested())
            return read_later();
        if (parser_->is_done())
            return on_complete();
        auto& body = parser_->get().body();
        body.data = chunk_.data();
        body.size = chunk_.size();
        stream_->expires_after(dispatch_.silence_limit);
        http::async_read_some(
            *stream_,
            buffer_,
            *parser_,
            [self = shared_from_this()](boost_error error, std::size_t)
            { self->on_body(error); });
    }

    void read_later()
    {
        retry_timer_.expires_after(congestion_retry_interval);
        retry_timer_.async_wait(
            [self = shared_from_this()](boost_error)
            {
                if (!self->ended_)
                    self->read_body();
            });
    }

    void on_body(const boost_error& error)
    {
        if (ended_)
            return;
        if (error && error != http::error::need_buffer)
            return on_connection_error(error);
        const std::size_t size = chunk_.size() - parser_->get().body().size;
        const std::string_view bytes(chunk_.data(), size);
        if (streaming_)
            take_events(bytes);
        else
            body_ += bytes;
        if (ended_)
            return;
        if (body_.size() > duty_->options.body_bytes)
            return fail(attempt_failure::malformed, "the answer is too large");
        count_buffered();
        if (!ended_)
            read_body();
    }

    /// Counts what this attempt buffers, and gives up the attempts that buffer
    /// the most while all together buffer too much.
    void count_buffered()
    {
        const std::size_t bytes = body_.size() + events_.buffer.size();
        duty_->buffered_bytes += bytes - buffered_bytes_;
        buffered_bytes_ = bytes;
        while (duty_->buffered_bytes > duty_->options.buffered_bytes)
        {
            const auto largest = std::max_element(
                duty_->attempts.begin(),
                duty_->attempts.end(),
                [](const auto& a, const auto& b) {
                    return a.second->buffered_bytes() <
                           b.second->buffered_bytes();
                });
            const auto given_up = largest->second;
            given_up->fail(
                attempt_failure::malformed,
                "too many bytes of answers are buffered");
        }
    }

    void drop_buffered()
    {
        duty_->buffered_bytes -= std::exchange(buffered_bytes_, 0);
    }

    void take_events(std::string_view bytes)
    {
        for (auto& event : engine::feed(events_, bytes))
        {
            if (auto* piece = std::get_if<engine::text_piece>(&event))
                report(attempt_token{
                    dispatch_.attempt, next_token_++, std::move(piece->text)});
            else if (std::holds_alternative<engine::done>(event))
                end_mark_received_ = true;
            else if (auto* bad = std::get_if<engine::malformed>(&event))
                return fail(attempt_failure::malformed, bad->reason);
        }
    }

    void on_complete()
    {
        if (streaming_ && !end_mark_received_)
            return fail(attempt_failure::broken, "cut before its end mark");
        ended_ = true;
        attempt_finished finished;
        finished.attempt = dispatch_.attempt;
        finished.status = status_;
        finished.content_type = content_type_;
        finished.body = std::move(body_);
        finished.finish_reason = events_.last.reason;
        finished.prompt_tokens = events_.last.prompt_tokens;
        finished.cached_tokens = events_.last.cached_tokens;
        finished.answered_tokens = events_.last.answered_tokens;
        if (streaming_)
            finished.pieces = next_token_;
        duty_->to_serving.send(std::move(finished));
        drop_buffered();
        keep_connection();
        unregister();
    }

    void keep_connection()
    {
        auto& streams = duty_->idle[dispatch_.address];
        if (!parser_->keep_alive() || buffer_.size() > 0 ||
            streams.size() >= duty_->options.idle_connections)
            return close();
        stream_->expires_never();
        streams.push_back(std::move(stream_));
    }

    void on_connection_error(const boost_error& error)
    {
        if (reused_ && !head_received_ && error != beast::error::timeout)
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

    void report(serving_input input)
    {
        duty_->to_serving.send(std::move(input));
    }

    void close()
    {
        if (stream_)
            stream_->close();
        retry_timer_.cancel();
    }

    void unregister()
    {
        duty_->attempts.erase(dispatch_.attempt);
    }

    std::shared_ptr<duty_state> duty_;
    dispatch dispatch_;
    stream_ptr stream_;
    asio::steady_timer retry_timer_;
    std::string request_bytes_;
    beast::flat_buffer buffer_{max_unparsed_bytes};
    std::optional<http::response_parser<http::buffer_body>> parser_;
    std::vector<char> chunk_ = std::vector<char>(read_size);
    engine::stream_parser events_;
    std::string body_;
    /// As counted in the state of the duty.
    std::size_t buffered_bytes_ = 0;
    std::string content_type_;
    std::uint64_t next_token_ = 0;
    int status_ = 0;
    bool reused_ = false;
    bool sent_reported_ = false;
    bool head_received_ = false;
    bool streaming_ = false;
    bool end_mark_received_ = false;
    bool ended_ = false;
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
    if (auto* request = std::get_if<dispatch>(&action))
    {
        ++state_->counters.dispatched;
        const attempt_id id = request->attempt;
        auto started = std::make_shared<attempt>(state_, std::move(*request));
        state_->attempts[id] = started;
        started->start();
    }
    else if (auto* cancellation = std::get_if<cancel_attempt>(&action))
    {
        const auto found = state_->attempts.find(cancellation->attempt);
        if (found == state_->attempts.end())
            return;
        ++state_->counters.cancelled;
        const auto started = found->second;
        state_->attempts.erase(found);
        started->cancel();
    }
}

const upstreams_counters& upstreams_duty::counters() const
{
    return state_->counters;
}

} // namespace bergamotusher
