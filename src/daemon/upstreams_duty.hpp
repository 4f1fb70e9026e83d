// HTTP client for upstreams: sends attempts, reads the responses and reports
// the outcome of each attempt to the serving duty.
#pragma once

#include "base/mailbox.hpp"

#include <bergamotusher/serving.hpp>

#include <boost/asio/io_context.hpp>

#include <atomic>
#include <cstdint>
#include <memory>

namespace bergamotusher
{

/// Limits of the client.
struct upstreams_options
{
    duration connect_timeout = 1s;
    /// Maximum number of idle connections kept open for each address.
    std::size_t idle_connections = 64;
    std::uint32_t header_bytes = 16 * 1024;
    /// Maximum size of a response body that is not a stream.
    std::size_t body_bytes = std::size_t{8} << 20;
    /// Bytes of incomplete bodies and events that are buffered over all
    /// attempts; the largest is given up beyond it.
    std::size_t buffered_bytes = std::size_t{64} << 20;
};

/// Counters that any thread may read.
struct upstreams_counters
{
    std::atomic<std::uint64_t> dispatched{0};
    std::atomic<std::uint64_t> cancelled{0};
    std::atomic<std::uint64_t> connected{0};
    std::atomic<std::uint64_t> reused{0};
    std::atomic<std::uint64_t> mismatched_answers{0};
};

/// Owns all attempts in flight at this entry. Except for the counters, use it
/// only on the thread of `loop`.
class upstreams_duty
{
public:
    upstreams_duty(
        boost::asio::io_context& loop,
        mailbox<serving_input>& serving,
        upstreams_options options = {});
    ~upstreams_duty();

    /// Executes `dispatch` and `cancel_attempt`; ignores other actions.
    void take(serving_action&& action);

    const upstreams_counters& counters() const;

    struct state;

private:
    std::shared_ptr<state> state_;
};

} // namespace bergamotusher
