// An HTTP/1.1 server on one Asio loop, with limits on everything that comes
// in. The handler answers through an `http_exchange`, at once or later, whole
// or in pieces.
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
    /// For one whole request to arrive, once it began.
    duration receive_time = 10s;
    /// A connection may be without a request for this long.
    duration idle_time = 60s;
    /// For a reader to take what was written.
    duration send_time = 20s;
    /// Answer bytes that may wait for a slow reader before it is cut off.
    std::size_t unsent_bytes = std::size_t{4} << 20;
    std::size_t connections = 10'000;
};

/// One request, read whole.
struct http_request
{
    std::string method;
    /// Path and query, as sent.
    std::string target;
    /// Names in lower case.
    std::map<std::string, std::string> headers;
    std::string body;

    /// The value of header `name` (lower case), or an empty string.
    std::string header(const std::string& name) const;
    /// The target without its query.
    std::string path() const;
    /// What stands after `?` in the target.
    std::string query_text() const;
};

/// Header fields of an answer.
using http_fields = std::vector<std::pair<std::string, std::string>>;

/// The answering side of one request. Belongs to the server's loop.
class http_exchange
{
public:
    virtual ~http_exchange() = default;

    /// Sends the whole answer.
    virtual void
    answer(int status, const http_fields& fields, std::string body) = 0;
    /// Begins an answer in pieces.
    virtual void begin(int status, const http_fields& fields) = 0;
    /// One more piece.
    virtual void write(const std::string& piece) = 0;
    /// The answer is whole.
    virtual void end() = 0;
    /// Cuts the connection, so that the caller sees the answer is not whole.
    virtual void abort() = 0;
    /// Runs once if the caller's connection is lost before the answer is
    /// whole.
    virtual void on_lost(std::function<void()> handler) = 0;
};

/// Answers one request.
using http_handler =
    std::function<void(http_request&&, const std::shared_ptr<http_exchange>&)>;

/// Counts of one server; read from any thread.
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

/// A listening server; it lives as long as its loop runs.
class http_server
{
public:
    /// Listens on `where`. Throws `std::system_error` if it cannot.
    http_server(
        boost::asio::io_context& loop,
        const endpoint& where,
        http_limits limits,
        http_handler handler);
    ~http_server();

    const http_counters& counters() const;

    /// Takes no more connections, and closes idle ones after their answer.
    void stop_accepting();

private:
    struct state;
    std::shared_ptr<state> state_;
};

/// Answers with the problem document of `error`.
void answer_problem(
    http_exchange& exchange,
    const failure& error,
    run_claim run,
    const http_fields& more = {});

/// The same, with the claim of the table.
void answer_problem(http_exchange& exchange, const failure& error);

/// The problem document of `error` (RFC 9457), as JSON.
std::string problem_document(const failure& error, run_claim run);

} // namespace bergamotusher
