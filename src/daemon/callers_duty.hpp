// The HTTP side towards callers: reads and checks requests, and writes the
// answers that the serving duty decides on.
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

/// What the callers duty needs besides its ring to the serving duty.
struct callers_options
{
    endpoint address;
    node_id node;
    /// Start of this process; makes request ids unique over restarts.
    std::uint64_t incarnation = 0;
    http_limits limits;
    /// The JSON of `GET /v1/entries` for an account; any thread.
    std::function<std::string(const account_id&)> entries;
    /// Where the entry `node` serves callers; empty if unknown.
    std::function<std::string(const node_id&)> entry_address_of;
};

/// Counts; read from any thread.
struct callers_counters
{
    std::atomic<std::uint64_t> unauthenticated{0};
    std::atomic<std::uint64_t> over_connection_limit{0};
};

/// All callers' connections of this entry. Belongs to its duty's loop.
class callers_duty
{
public:
    callers_duty(
        boost::asio::io_context& loop,
        mailbox<serving_input>& serving,
        callers_options options);
    ~callers_duty();

    /// Takes the `answer_*` actions; ignores others.
    void take(serving_action&& action);

    /// Takes `value` into force for checking requests.
    void apply(std::shared_ptr<const configuration> value);

    /// Takes no more connections.
    void stop_accepting();

    const http_counters& http() const;
    const callers_counters& counters() const;

    struct state;

private:
    std::shared_ptr<state> state_;
};

} // namespace bergamotusher
