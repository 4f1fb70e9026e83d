// HTTP server of the administration address: requests of operators,
// announcements of upstreams, metrics, and health checks.
#pragma once

#include "base/mailbox.hpp"
#include "daemon/http_server.hpp"
#include "membership/announcement.hpp"
#include "observe/timeline.hpp"
#include "state/operator_api.hpp"

#include <bergamotusher/upstream.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace bergamotusher
{

/// An upstream announced that it leaves.
struct upstream_left
{
    upstream_id id;
};

/// A validated message of an upstream, for the serving duty.
using upstream_message =
    std::variant<upstream, upstream_left, membership::upstream_events>;

/// Settings of the admin duty, and its access to the other duties. The
/// functions are called on the admin duty's thread, at any time.
struct admin_options
{
    endpoint address;
    /// Bearer token of operators; if empty, their requests are rejected.
    std::string operator_token;
    /// Bearer token of upstreams; if empty, their announcements are rejected.
    std::string upstream_token;
    http_limits limits;
    /// Answers an operator's request from the replicated state, during the call
    /// or later.
    std::function<void(
        state::operator_request, std::function<void(state::operator_answer)>)>
        operate;
    std::function<std::string()> status;
    std::function<std::string()> upstreams;
    std::function<std::string()> metrics;
    std::function<std::vector<event>(const observe::timeline_query&)> timeline;
    std::function<bool()> ready;
};

/// Counters of the admin duty; may be read on any thread.
struct admin_counters
{
    std::atomic<std::uint64_t> unauthenticated{0};
    std::atomic<std::uint64_t> bad_announcements{0};
    std::atomic<std::uint64_t> announcements{0};
};

/// Serves the administration address. Used on the thread of `loop`, except for
/// the counters.
class admin_duty
{
public:
    admin_duty(
        boost::asio::io_context& loop,
        mailbox<upstream_message>& serving,
        admin_options options);
    ~admin_duty();

    const http_counters& http() const;
    const admin_counters& counters() const;

    struct state_data;

private:
    std::shared_ptr<state_data> state_;
};

} // namespace bergamotusher
