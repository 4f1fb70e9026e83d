#include "daemon/platform_duty.hpp"

#include "adapters/cloud.hpp"
#include "daemon/http_client.hpp"
#include "daemon/supervisor.hpp"

#include <boost/asio/steady_timer.hpp>

#include <set>
#include <utility>

namespace bergamotusher
{

namespace
{

constexpr duration poll_interval = 500ms;

} // namespace

struct platform_duty::state_data
{
    state_data(
        boost::asio::io_context& l,
        mailbox<reclaim_notice>& s,
        platform_options o)
        : loop(l), serving(s), options(std::move(o)), timer(l)
    {
    }

    boost::asio::io_context& loop;
    mailbox<reclaim_notice>& serving;
    platform_options options;
    platform_counters counters;
    boost::asio::steady_timer timer;
    /// Instance and failure domain of each notice that the serving duty got and
    /// the platform still lists.
    std::set<std::pair<std::string, std::string>> forwarded_notices;
    bool own_notice_received = false;
};

namespace
{

using duty_state = platform_duty::state_data;
using state_ptr = std::shared_ptr<duty_state>;

void handle_notice(duty_state& duty, const cloud::notice& notice, time_point at)
{
    const bool own = notice.instance.empty()
                         ? notice.domain == duty.options.domain
                         : notice.instance == duty.options.node.value;
    if (own && !std::exchange(duty.own_notice_received, true))
        duty.options.on_own_notice(at + notice.time_left);
    const auto key = std::make_pair(notice.instance, notice.domain.value);
    if (duty.forwarded_notices.count(key) > 0)
        return;
    if (!duty.serving.push(
            {notice.instance, notice.domain, at + notice.time_left}))
        return;
    duty.forwarded_notices.insert(key);
    ++duty.counters.notices;
}

// Removes notices that the platform no longer lists, so that they are passed on
// again if they come back.
void forget_withdrawn(
    duty_state& duty, const std::vector<cloud::notice>& present)
{
    std::set<std::pair<std::string, std::string>> listed;
    for (const cloud::notice& notice : present)
    {
        const auto key = std::make_pair(notice.instance, notice.domain.value);
        if (duty.forwarded_notices.count(key) > 0)
            listed.insert(key);
    }
    duty.forwarded_notices.swap(listed);
}

void handle_reply(duty_state& duty, const http_reply& reply)
{
    ++duty.counters.polls;
    const auto parsed = cloud::parse_notices(reply.body);
    const auto* notices = std::get_if<std::vector<cloud::notice>>(&parsed);
    if (reply.status != 200 || notices == nullptr)
    {
        ++duty.counters.failed_polls;
        return;
    }
    for (const cloud::notice& notice : *notices)
        handle_notice(duty, notice, now());
    forget_withdrawn(duty, *notices);
}

void poll(const state_ptr& duty)
{
    const std::weak_ptr<duty_state> weak = duty;
    call_http(
        duty->loop,
        {duty->options.cloud, "GET", "/v1/notices", "", poll_interval * 2},
        [weak](const http_reply& reply)
        {
            const auto self = weak.lock();
            if (!self)
                return;
            handle_reply(*self, reply);
            self->timer.expires_after(poll_interval);
            self->timer.async_wait(
                [weak](const boost::system::error_code& error)
                {
                    const auto again = weak.lock();
                    if (again && !error)
                        poll(again);
                });
        });
}

} // namespace

platform_duty::platform_duty(
    boost::asio::io_context& loop,
    mailbox<reclaim_notice>& serving,
    platform_options options)
    : state_(std::make_shared<state_data>(loop, serving, std::move(options)))
{
    poll(state_);
}

platform_duty::~platform_duty() = default;

const platform_counters& platform_duty::counters() const
{
    return state_->counters;
}

} // namespace bergamotusher
