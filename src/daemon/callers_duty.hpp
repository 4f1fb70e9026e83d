// HTTP server for callers: authenticates and parses their requests, passes them
// to the serving duty and writes the responses that it returns.
#pragma once

#include "base/mailbox.hpp"
#include "daemon/http_server.hpp"

#include <bergamotusher/configuration.hpp>
#include <bergamotusher/serving.hpp>

#include <functional>
#include <memory>
#include <string>

namespace bergamotusher
{

/// Settings and callbacks of the callers duty.
struct callers_options
{
    endpoint address;
    node_id node;
    /// Identifies this run of the process, so that request ids stay unique
    /// across restarts.
    std::uint64_t incarnation = 0;
    http_limits limits;
    /// Returns the JSON of `GET /v1/entries` for an account. Must be callable
    /// from any thread.
    std::function<std::string(const account_id&)> entries_json;
    /// Returns the address on which the given entry serves callers; empty if
    /// unknown.
    std::function<std::string(const node_id&)> entry_address_of;
};

/// Counters that any thread may read.
struct callers_counters
{
    std::atomic<std::uint64_t> unauthenticated{0};
    std::atomic<std::uint64_t> over_connection_limit{0};
};

/// Owns all connections of callers to this entry. Except for the counters, use
/// it only on the thread of `loop`.
class callers_duty
{
public:
    callers_duty(
        boost::asio::io_context& loop,
        mailbox<serving_input>& serving,
        callers_options options);
    ~callers_duty();

    /// Writes the response of an `answer_*` action; ignores other actions.
    void take(serving_action&& action);

    /// Replaces the configuration that requests are checked against.
    void apply_configuration(std::shared_ptr<const configuration> value);

    /// Stops accepting connections.
    void stop_accepting();

    const http_counters& http() const;
    const callers_counters& counters() const;

    struct state;

private:
    std::shared_ptr<state> state_;
};

} // namespace bergamotusher
