// Keep-alive connections to upstreams, with one request at a time on each. The
// pool never sends a request twice; the owner of the request decides about
// retries.
#pragma once

#include "gateway/dialect.hpp"
#include "gateway/http_message.hpp"

#include <bergamotusher/time.hpp>

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace bergamotusher::gateway
{

struct pool_options
{
    /// Time limit for establishing a connection. Callers allow one second.
    duration connect_timeout = 600ms;
    /// A connection fails when bytes stay unacknowledged for this long, as with
    /// a peer that has disappeared.
    duration unacknowledged_timeout = 1000ms;
    /// Interval of TCP keep-alive probes on a connection without traffic.
    duration keepalive_interval = 1s;
    /// How long idle connections are kept if the upstream states no time.
    duration idle_timeout = 2s;
    /// An idle connection is not reused in the last part of its idle time,
    /// since the upstream may be closing it.
    duration idle_margin = 700ms;
    /// Maximum number of idle connections to one upstream.
    std::size_t idle_connections_max = 32;
    /// Maximum size of an answer's head, and of a line inside its body.
    std::uint32_t header_bytes_max = 32 * 1024;
    /// Answers to other requests, and bytes of one of them, that are skipped
    /// before the answer to a request.
    std::size_t skipped_answers_max = 8;
    std::size_t skipped_bytes_max = std::size_t{1} << 20;
};

/// Why no complete answer was received.
enum class failure_kind
{
    /// No connection was made, so no byte of the request was sent.
    not_connected,
    /// The connection was lost; the request may have run.
    connection_lost,
    /// The bytes received are not a valid answer, or not one to this request.
    malformed
};

constexpr auto enum_names(failure_kind)
{
    using row = enum_name<failure_kind>;
    return std::array{
        row{failure_kind::not_connected, "not_connected"},
        row{failure_kind::connection_lost, "lost"},
        row{failure_kind::malformed, "malformed"}};
}

/// Callbacks of a request; they run on the pool's event loop. After
/// `on_complete` or `on_failed` none is called.
struct response_callbacks
{
    /// The head of the answer was received.
    std::function<void(const answer_parser&, const answer_metadata&)> on_head;
    /// More bytes of the body were received.
    std::function<void(const std::string&)> on_body;
    /// The answer is complete.
    std::function<void()> on_complete;
    std::function<void(failure_kind, const std::string& detail)> on_failed;
};

struct outgoing_request
{
    /// IP:PORT.
    std::string address;
    /// The complete request, head and body.
    std::string bytes;
    /// The attempt id that the answer must repeat.
    std::string attempt_id;
    bool is_head_request = false;
    /// The request must not run twice, so an idle connection is reused only in
    /// the first half of its idle time.
    bool at_most_once = false;
};

struct pool_counters
{
    std::uint64_t connects = 0;
    std::uint64_t reuses = 0;
    std::uint64_t connect_failures = 0;
    std::uint64_t stray_answers = 0;
    std::uint64_t stray_bytes = 0;
};

class upstream_pool
{
public:
    class connection;
    /// Handle of a request in progress, for `cancel`.
    using ticket = std::shared_ptr<connection>;

    upstream_pool(
        boost::asio::io_context& loop,
        const header_codec& codec,
        pool_options options);
    ~upstream_pool();
    upstream_pool(const upstream_pool&) = delete;
    upstream_pool& operator=(const upstream_pool&) = delete;

    /// Sends a request. No callback runs inside this call.
    ticket send(outgoing_request request, response_callbacks callbacks);

    /// Tells `done` whether a new connection to the address is accepted.
    void
    probe(const std::string& address, std::function<void(bool accepted)> done);

    /// Closes the connection of a request in progress; no callback follows.
    void cancel(const ticket& sent);

    /// Closes idle connections to an address that no upstream uses any more.
    void close_idle(const std::string& address);

    /// Closes idle connections whose idle time has passed.
    void close_expired();

    const pool_counters& counters() const;

private:
    struct state;
    std::shared_ptr<state> state_;
};

} // namespace bergamotusher::gateway
