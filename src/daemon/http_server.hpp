// HTTP/1.1 server on one Asio loop, with limits on the size, the duration and
// the number of requests and connections. The handler responds through an
// `http_exchange`, immediately or later, in one part or as a chunked body.
#pragma once

#include "settings/settings.hpp"

#include <bergamotusher/error_kind.hpp>
#include <bergamotusher/time.hpp>

#include <boost/asio/io_context.hpp>

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace bergamotusher
{

/// Limits of one server.
struct http_limits
{
    std::uint32_t header_bytes = 16 * 1024;
    std::uint64_t body_bytes = std::uint64_t{4} << 20;
    /// Time from the first byte of a request to its last.
    duration receive_timeout = 10s;
    /// Time that a connection may stay open without a request.
    duration idle_timeout = 60s;
    /// Time that one write to the socket may take.
    duration send_timeout = 20s;
    /// Response bytes that may be queued for a slow reader before its
    /// connection is closed.
    std::size_t unsent_bytes = std::size_t{4} << 20;
    std::size_t connections = 10'000;
};

/// A request that was received completely.
struct http_request
{
    std::string method;
    /// Path and query, as sent.
    std::string target;
    /// Keys are field names in lower case.
    std::map<std::string, std::string> headers;
    std::string body;

    /// Returns the value of header `name` (lower case), or an empty string.
    std::string header(const std::string& name) const;
    /// The target without its query.
    std::string path() const;
    /// The part of the target after `?`; empty if there is none.
    std::string query_text() const;
};

/// Header fields of a response.
using http_fields = std::vector<std::pair<std::string, std::string>>;

/// Writes the response to one request. Use it only on the server's loop.
class http_exchange
{
public:
    virtual ~http_exchange() = default;

    /// Sends a complete response.
    virtual void
    answer(int status, const http_fields& fields, std::string body) = 0;
    /// Sends the head of a chunked response.
    virtual void begin(int status, const http_fields& fields) = 0;
    /// Sends one chunk of the body; an empty one is ignored.
    virtual void write(const std::string& piece) = 0;
    /// Completes a chunked response.
    virtual void end() = 0;
    /// Closes the connection, so that the caller sees a truncated response.
    virtual void abort() = 0;
    /// Sets the handler that runs once if the connection closes before the
    /// response is complete.
    virtual void on_disconnect(std::function<void()> handler) = 0;
};

/// Handles one request.
using http_handler =
    std::function<void(http_request&&, const std::shared_ptr<http_exchange>&)>;

/// Counters of one server that any thread may read.
struct http_counters
{
    std::atomic<std::uint64_t> accepted{0};
    std::atomic<std::uint64_t> open{0};
    std::atomic<std::uint64_t> requests{0};
    std::atomic<std::uint64_t> malformed{0};
    std::atomic<std::uint64_t> too_large{0};
    std::atomic<std::uint64_t> slow_senders{0};
    std::atomic<std::uint64_t> slow_readers{0};
    std::atomic<std::uint64_t> over_limit{0};
};

/// A listening server. Its state stays alive while its loop has operations of
/// it pending.
class http_server
{
public:
    /// Listens on `address`. Throws `std::system_error` if that fails.
    http_server(
        boost::asio::io_context& loop,
        const endpoint& address,
        http_limits limits,
        http_handler handler);
    ~http_server();

    const http_counters& counters() const;

    /// Stops accepting connections, and closes each open one after its next
    /// response.
    void stop_accepting();

private:
    struct state;
    std::shared_ptr<state> state_;
};

/// Responds with the problem document and the HTTP status of `error`.
void answer_problem(
    http_exchange& exchange,
    const failure& error,
    run_claim run,
    const http_fields& extra_fields = {});

/// The same, with the `run_claim` that the error table has for the kind.
void answer_problem(http_exchange& exchange, const failure& error);

/// Returns the problem document of `error` (RFC 9457) as JSON.
std::string problem_document(const failure& error, run_claim run);

} // namespace bergamotusher
