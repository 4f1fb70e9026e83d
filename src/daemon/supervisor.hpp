// The root of the process's threads: one duty a thread, watched by one
// supervisor.
//
// A duty is an Asio loop. When a handler of a duty throws, the duty goes on
// with its next handler, as often as its restart budget allows; beyond that,
// or when a duty stalls, the process is to drain and exit.
#pragma once

#include <bergamotusher/time.hpp>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <atomic>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace bergamotusher
{

/// The present time, for duties to hand to deciding functions.
time_point now();

/// Milliseconds since the Unix epoch, UTC.
wall_time wall_now();

/// How often a duty may be restarted, and how long it may be silent.
struct duty_limits
{
    unsigned restarts = 5;
    duration restart_window = 60s;
    duration stall = 10s;
};

/// One thread with its loop.
class duty
{
public:
    duty(std::string name, duty_limits limits);
    ~duty();
    duty(const duty&) = delete;
    duty& operator=(const duty&) = delete;

    const std::string& name() const
    {
        return name_;
    }
    boost::asio::io_context& loop()
    {
        return loop_;
    }

    /// Starts the thread. `on_restart` runs on it after each exception that
    /// was caught, with the exception's text.
    void start(std::function<void(const std::string&)> on_restart);

    /// Ends the loop and joins the thread.
    void stop();

    /// True once its restarts are used up.
    bool failed() const
    {
        return failed_.load();
    }
    /// True if its loop has not turned for longer than the stall limit.
    bool stalled(time_point at) const;

    /// How often it was restarted.
    unsigned restarts() const
    {
        return restarts_.load();
    }

private:
    void run();
    void beat();
    bool may_restart(time_point at);

    std::string name_;
    duty_limits limits_;
    boost::asio::io_context loop_{1};
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
        guard_;
    boost::asio::steady_timer pulse_;
    std::function<void(const std::string&)> on_restart_;
    std::vector<time_point> recent_restarts_;
    std::atomic<duration::rep> last_beat_{0};
    std::atomic<unsigned> restarts_{0};
    std::atomic<bool> failed_{false};
    std::thread thread_;
};

/// What the supervisor found wrong, if anything.
enum class health
{
    good,
    /// A duty used up its restarts.
    failed,
    /// A duty does not turn any more.
    stalled
};

/// Owns the duties; starts them in order and stops them in reverse order.
class supervisor
{
public:
    /// Adds a duty, not yet started.
    duty& add(std::string name, duty_limits limits = {});

    void start(
        const std::function<void(const duty&, const std::string&)>& on_restart);
    void stop();

    /// The worst state of all duties.
    health check(time_point at) const;

    const std::vector<std::unique_ptr<duty>>& duties() const
    {
        return duties_;
    }

private:
    std::vector<std::unique_ptr<duty>> duties_;
};

} // namespace bergamotusher
