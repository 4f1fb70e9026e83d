#include "daemon/supervisor.hpp"

#include "base/clock.hpp"

#include <algorithm>
#include <exception>

namespace bergamotusher
{

namespace
{

constexpr auto heartbeat_interval = 250ms;

} // namespace

time_point now()
{
    return uptime();
}

wall_time wall_now()
{
    return time_of_day();
}

duty::duty(std::string name, duty_limits limits)
    : name_(std::move(name))
    , limits_(limits)
    , guard_(boost::asio::make_work_guard(loop_))
    , heartbeat_timer_(loop_)
{
}

duty::~duty()
{
    stop();
}

void duty::start(std::function<void(const std::string&)> on_restart)
{
    on_restart_ = std::move(on_restart);
    record_heartbeat();
    thread_ = std::thread([this] { run(); });
}

void duty::stop()
{
    loop_.stop();
    if (thread_.joinable())
        thread_.join();
}

bool duty::stalled(time_point at) const
{
    const duration silent =
        at.time_since_epoch() - duration(last_heartbeat_.load());
    return silent > limits_.stall;
}

void duty::run()
{
    while (!failed_.load())
    {
        try
        {
            loop_.run();
            return;
        }
        catch (const std::exception& error)
        {
            if (!count_restart(now()))
                failed_.store(true);
            on_restart_(error.what());
        }
    }
}

void duty::record_heartbeat()
{
    last_heartbeat_.store(now().time_since_epoch().count());
    heartbeat_timer_.expires_after(heartbeat_interval);
    heartbeat_timer_.async_wait(
        [this](const boost::system::error_code& error)
        {
            if (!error)
                record_heartbeat();
        });
}

bool duty::count_restart(time_point at)
{
    const auto old = [&](time_point when)
    {
        return at - when > limits_.restart_window;
    };
    recent_restarts_.erase(
        std::remove_if(recent_restarts_.begin(), recent_restarts_.end(), old),
        recent_restarts_.end());
    recent_restarts_.push_back(at);
    restarts_.fetch_add(1);
    return recent_restarts_.size() <= limits_.restarts;
}

duty& supervisor::add(std::string name, duty_limits limits)
{
    duties_.push_back(std::make_unique<duty>(std::move(name), limits));
    return *duties_.back();
}

void supervisor::start(
    const std::function<void(const duty&, const std::string&)>& on_restart)
{
    for (const auto& thread : duties_)
        thread->start([on_restart, &duty = *thread](const std::string& reason)
                      { on_restart(duty, reason); });
}

void supervisor::stop()
{
    std::for_each(
        duties_.rbegin(),
        duties_.rend(),
        [](const auto& thread) { thread->stop(); });
}

health supervisor::check(time_point at) const
{
    health worst = health::good;
    for (const auto& thread : duties_)
    {
        if (thread->failed())
            return health::failed;
        if (thread->stalled(at))
            worst = health::stalled;
    }
    return worst;
}

} // namespace bergamotusher
