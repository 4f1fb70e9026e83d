// Worker threads of the process. A duty is one thread that runs an Asio loop;
// the supervisor owns the duties and reports failed or stalled ones.
//
// If a handler throws, its duty continues with the next handler until its
// restart limit is reached. After that, or if a duty stalls, the process should
// drain and exit.
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

/// The present time on the clock of the process, which duties pass to functions
/// that take the time as an argument.
time_point now();

/// The present wall-clock time: milliseconds since the Unix epoch, UTC.
wall_time wall_now();

/// Number of restarts that a duty may use within `restart_window`, and the time
/// without a heartbeat after which it counts as stalled.
struct duty_limits
{
    unsigned restarts = 5;
    duration restart_window = 60s;
    duration stall = 10s;
};

/// A worker thread with its Asio loop.
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

    /// Starts the thread. `on_restart` is called on it after each exception
    /// that left a handler, with the exception's text.
    void start(std::function<void(const std::string&)> on_restart);

    /// Stops the loop and joins the thread.
    void stop();

    /// True once the restart limit is exceeded; the thread has ended.
    bool failed() const
    {
        return failed_.load();
    }
    /// True if the loop has recorded no heartbeat within the stall limit.
    bool stalled(time_point at) const;

    /// Number of exceptions that left a handler.
    unsigned restarts() const
    {
        return restarts_.load();
    }

private:
    void run();
    void record_heartbeat();
    /// Counts a restart; false if it exceeds the restart limit.
    bool count_restart(time_point at);

    std::string name_;
    duty_limits limits_;
    boost::asio::io_context loop_{1};
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
        guard_;
    boost::asio::steady_timer heartbeat_timer_;
    std::function<void(const std::string&)> on_restart_;
    std::vector<time_point> recent_restarts_;
    std::atomic<duration::rep> last_heartbeat_{0};
    std::atomic<unsigned> restarts_{0};
    std::atomic<bool> failed_{false};
    std::thread thread_;
};

/// State of the duties as a whole.
enum class health
{
    good,
    /// A duty exceeded its restart limit.
    failed,
    /// The loop of a duty is blocked.
    stalled
};

/// Owns the duties; starts them in order and stops them in reverse order.
class supervisor
{
public:
    /// Adds a duty without starting it.
    duty& add(std::string name, duty_limits limits = {});

    /// Starts all duties. `on_restart` is called on the thread of the duty
    /// whose handler threw, with the exception's text.
    void start(
        const std::function<void(const duty&, const std::string&)>& on_restart);
    void stop();

    /// `failed` if a duty has failed, else `stalled` if one is stalled.
    health check(time_point at) const;

    const std::vector<std::unique_ptr<duty>>& duties() const
    {
        return duties_;
    }

private:
    std::vector<std::unique_ptr<duty>> duties_;
};

} // namespace bergamotusher
