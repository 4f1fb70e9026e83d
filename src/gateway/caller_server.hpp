// Listens for callers and reads their requests; one request at a time on each
// connection, in order.
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
    /// Answer bytes that may wait for a slow reader before it is cut off.
    std::size_t unsent_bytes = std::size_t{4} << 20;
    /// Connections that wait to be accepted.
    int backlog = 1024;
    /// Open connections; more are closed at once.
    std::size_t connections = 4000;
};

class caller_server
{
public:
    /// `limits` tells the bounds that are in force. Throws
    /// `boost::system::system_error` if the address cannot be listened on.
    caller_server(
        boost::asio::io_context& loop,
        relay& requests,
        caller_server_options options,
        std::function<site::caller_limits()> limits);
    ~caller_server();
    caller_server(const caller_server&) = delete;
    caller_server& operator=(const caller_server&) = delete;

    /// From now on connections close after their answer.
    void close_after_answers();
    /// Takes no more connections and closes those without a request.
    void stop_accepting();
    /// True once every answer has been taken by its caller and no connection
    /// is left; before that, ending the process would cut answers.
    bool quiet() const;
    /// Closes connections whose time to send is over; call it a few times a
    /// second.
    void tick();

    const caller_counters& counters() const;

private:
    class session;
    struct state;
    std::shared_ptr<state> state_;
};

} // namespace bergamotusher::gateway
