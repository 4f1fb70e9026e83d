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
    /// Instance and failure domain of each notice that was passed on.
    std::set<std::pair<std::string, std::string>> known;
    bool own_noticed = false;
};

namespace
{

using duty_state = platform_duty::state_data;
using state_ptr = std::shared_ptr<duty_state>;

void take_notice(duty_state& duty, const cloud::notice& one, time_point at)
{
    const bool own = one.instance.empty()
                         ? one.domain == duty.options.domain
                         : one.instance == duty.options.node.value;
    if (own && !std::exchange(duty.own_noticed, true))
        duty.options.on_own_notice(at + one.time_left);
    const auto key = std::make_pair(one.instance, one.domain.value);
    if (duty.known.count(key) > 0)
        return;
    if (!duty.serving.push({one.instance, one.domain, at + one.time_left}))
        return;
    duty.known.insert(key);
    ++duty.counters.notices;
}

// Notices that the platform no longer lists may be given anew later.
void forget_old(duty_state& duty, const std::vector<cloud::notice>& present)
{
    std::set<std::pair<std::string, std::string>> still;
    for (const cloud::notice& one : present)
    {
        const auto key = std::make_pair(one.instance, one.domain.value);
        if (duty.known.count(key) > 0)
            still.insert(key);
    }
    duty.known.swap(still);
}

void take_reply(duty_state& duty, const http_reply& reply)
{
    ++duty.counters.polls;
    const auto parsed = cloud::parse_notices(reply.body);
    const auto* notices = std::get_if<std::vector<cloud::notice>>(&parsed);
    if (reply.status != 200 || notices == nullptr)
    {
        ++duty.counters.failed_polls;
        return;
    }
    for (const cloud::notice& one : *notices)
        take_notice(duty, one, now());
    forget_old(duty, *notices);
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
            take_reply(*self, reply);
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
