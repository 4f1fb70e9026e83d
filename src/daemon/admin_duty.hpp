// The administration address: operators' requests, upstreams' announcements,
// metrics and health.
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

/// An upstream said that it leaves.
struct upstream_left
{
    upstream_id id;
};

/// What upstreams say, checked; for the serving duty.
using upstream_message =
    std::variant<upstream, upstream_left, membership::upstream_events>;

/// What the admin duty needs from the rest of the process. The functions may
/// be called from the duty's thread at any time.
struct admin_options
{
    endpoint address;
    /// Empty: operators are refused.
    std::string operator_token;
    /// Empty: announcing upstreams are refused.
    std::string upstream_token;
    http_limits limits;
    /// Answers an operator by the replicated state, at once or later.
    std::function<void(
        state::operator_request, std::function<void(state::operator_answer)>)>
        operate;
    std::function<std::string()> status;
    std::function<std::string()> upstreams;
    std::function<std::string()> metrics;
    std::function<std::vector<event>(const observe::timeline_query&)> timeline;
    std::function<bool()> ready;
};

/// Counts; read from any thread.
struct admin_counters
{
    std::atomic<std::uint64_t> unauthenticated{0};
    std::atomic<std::uint64_t> bad_announcements{0};
    std::atomic<std::uint64_t> announcements{0};
};

/// The duty's state. Belongs to its loop.
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
