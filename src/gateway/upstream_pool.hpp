// Connections to upstreams: one request at a time on each, kept open between
// requests. The pool never sends a request twice; whether it may be sent again
// is decided by who holds the request.
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
    /// For a connection to be established. Callers give it one second.
    duration connect_time = 600ms;
    /// Bytes that a peer has not acknowledged for so long break the
    /// connection: it has gone silent.
    duration unacknowledged_time = 1000ms;
    /// Between the probes of a connection on which nothing arrives.
    duration probe_time = 1s;
    /// Idle connections are kept for so long where the upstream names no time.
    duration idle_time = 2s;
    /// An idle connection is not used in the last part of its time, since the
    /// upstream may be closing it.
    duration idle_margin = 700ms;
    /// Idle connections to one upstream.
    std::size_t idle_max = 32;
    /// The largest answer head.
    std::uint32_t header_bytes = 32 * 1024;
};

/// Why an answer did not come whole.
enum class break_kind
{
    /// No connection; no byte of the request was sent.
    not_connected,
    /// The connection broke; the request may have run.
    lost,
    /// Bytes that are no answer, or an answer to something else.
    malformed
};

constexpr auto enum_names(break_kind)
{
    using row = enum_name<break_kind>;
    return std::array{
        row{break_kind::not_connected, "not_connected"},
        row{break_kind::lost, "lost"},
        row{break_kind::malformed, "malformed"}};
}

/// What a sender is told; each runs on the pool's loop. After `ended` or
/// `broken` nothing more follows.
struct send_events
{
    /// The head of the answer.
    std::function<void(const answer_parser&, const answer_facts&)> head;
    /// More of the body.
    std::function<void(const std::string&)> body;
    /// The answer is whole.
    std::function<void()> ended;
    std::function<void(break_kind, const std::string& detail)> broken;
};

struct outgoing_request
{
    /// IP:PORT.
    std::string address;
    /// Head and body, complete.
    std::string bytes;
    /// What the answer must repeat.
    std::string attempt;
    bool is_head = false;
    /// May not run twice: an idle connection is taken only if it is fresh.
    bool is_careful = false;
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
    /// Names a request under way; `cancel` ends it.
    using ticket = std::shared_ptr<connection>;

    upstream_pool(
        boost::asio::io_context& loop,
        const dialect& words,
        pool_options options);
    ~upstream_pool();
    upstream_pool(const upstream_pool&) = delete;
    upstream_pool& operator=(const upstream_pool&) = delete;

    /// Sends a request. The events never run inside this call.
    ticket send(outgoing_request request, send_events events);

    /// Closes the connection of a request under way; no event follows.
    void cancel(const ticket& sent);

    /// Closes idle connections to an address that is no upstream any more.
    void forget(const std::string& address);

    /// Closes idle connections whose time is over.
    void expire();

    const pool_counters& counters() const;

private:
    struct state;
    std::shared_ptr<state> state_;
};

} // namespace bergamotusher::gateway
