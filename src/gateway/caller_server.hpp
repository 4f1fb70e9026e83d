// Accepts connections of callers and parses their requests. Requests on one
// connection are handled one at a time, in order.
#pragma once

#include "gateway/relay.hpp"
#include "settings/settings.hpp"

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <memory>

namespace bergamotusher::gateway
{

struct caller_counters
{
    std::uint64_t accepted = 0;
    std::uint64_t open = 0;
    std::uint64_t malformed = 0;
    std::uint64_t too_large = 0;
    std::uint64_t slow_senders = 0;
    std::uint64_t slow_readers = 0;
};

struct caller_server_options
{
    endpoint address;
    /// Bytes of an answer that may be buffered for a slow reader before its
    /// connection is closed.
    std::size_t unsent_bytes_max = std::size_t{4} << 20;
    /// Length of the queue of connections not yet accepted.
    int backlog = 1024;
    /// Maximum number of open connections; more are closed at once.
    std::size_t connections_max = 4000;
};

class caller_server
{
public:
    /// `limits` returns the limits currently in force. Throws
    /// `boost::system::system_error` if the server cannot listen on the
    /// address.
    caller_server(
        boost::asio::io_context& loop,
        relay& requests,
        caller_server_options options,
        std::function<site::caller_limits()> limits);
    ~caller_server();
    caller_server(const caller_server&) = delete;
    caller_server& operator=(const caller_server&) = delete;

    /// From now on a connection is closed after its current answer.
    void close_after_answers();
    /// Stops accepting connections and closes those without a request.
    void stop_accepting();
    /// True once all answers were sent and all connections are closed. Ending
    /// the process earlier would truncate answers.
    bool is_drained() const;
    /// Closes connections that exceed a time limit; to be called a few times
    /// per second.
    void tick();

    const caller_counters& counters() const;

private:
    class session;
    struct state;
    std::shared_ptr<state> state_;
};

} // namespace bergamotusher::gateway
