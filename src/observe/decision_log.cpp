#include "observe/decision_log.hpp"

#include "base/clock.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <unistd.h>

namespace bergamotusher::observe
{

namespace
{

/// At the end, the writer is waited for so long.
constexpr auto last_write_time = std::chrono::milliseconds(500);

void append_name(std::string& text, std::string_view name)
{
    text.append(",\"").append(name).append("\":");
}

} // namespace

log_line::log_line(decision what) : what_(what)
{
    text_ = "\"event\":\"" + std::string(to_name(what)) + "\"";
}

log_line& log_line::with(std::string_view name, std::string_view value)
{
    using handler = nlohmann::json::error_handler_t;
    append_name(text_, name);
    text_ += nlohmann::json(std::string(value))
                 .dump(-1, ' ', false, handler::replace);
    return *this;
}

log_line& log_line::with(std::string_view name, const char* value)
{
    return with(name, std::string_view(value));
}

log_line& log_line::with(std::string_view name, std::int64_t value)
{
    append_name(text_, name);
    text_ += std::to_string(value);
    return *this;
}

log_line& log_line::with(std::string_view name, std::uint64_t value)
{
    append_name(text_, name);
    text_ += std::to_string(value);
    return *this;
}

log_line& log_line::with(std::string_view name, std::uint32_t value)
{
    return with(name, std::uint64_t{value});
}

log_line& log_line::with(std::string_view name, int value)
{
    return with(name, std::int64_t{value});
}

log_line& log_line::with(std::string_view name, double value)
{
    append_name(text_, name);
    text_ += nlohmann::json(value).dump();
    return *this;
}

log_line& log_line::with(std::string_view name, duration value)
{
    constexpr double microseconds_per_ms = 1000;
    return with(name, static_cast<double>(value.count()) / microseconds_per_ms);
}

struct decision_log::shared_queue
{
    std::mutex mutex;
    std::condition_variable wake;
    std::deque<std::string> lines;
    std::uint64_t dropped = 0;
    bool stopping = false;
    bool ended = false;
};

namespace
{

/// Writes all of `text`; what cannot be written is given up, since there is no
/// other place to say so.
void write_out(int output, std::string_view text)
{
    while (!text.empty())
    {
        const ssize_t size = ::write(output, text.data(), text.size());
        if (size < 0 && errno == EINTR)
            continue;
        if (size <= 0)
            return;
        text.remove_prefix(static_cast<std::size_t>(size));
    }
}

/// Writes what is queued, in batches, until the queue is stopped.
template<class Queue>
void write_lines(
    Queue& queue, const std::string& node, duration gather, int output)
{
    std::unique_lock lock(queue.mutex);
    std::uint64_t told = 0;
    for (bool last = false; !last;)
    {
        queue.wake.wait_for(
            lock,
            std::chrono::microseconds(gather),
            [&queue] { return queue.stopping; });
        last = queue.stopping;
        std::string batch;
        for (const std::string& line : queue.lines)
            batch += line;
        queue.lines.clear();
        if (queue.dropped != told)
        {
            batch += "{\"event\":\"log_dropped\",\"node\":\"" + node +
                     "\",\"lines\":" + std::to_string(queue.dropped - told) +
                     "}\n";
            told = queue.dropped;
        }
        lock.unlock();
        write_out(output, batch);
        lock.lock();
    }
    queue.ended = true;
    queue.wake.notify_all();
}

} // namespace

decision_log::decision_log(
    std::string node, std::string role, decision_log_options options)
    : node_(std::move(node))
    , role_(std::move(role))
    , options_(options)
    , queue_(std::make_shared<shared_queue>())
    , thread_([queue = queue_, node = node_, options]
              { write_lines(*queue, node, options.gather, options.output); })
{
}

decision_log::~decision_log()
{
    bool ended = false;
    {
        std::unique_lock lock(queue_->mutex);
        queue_->stopping = true;
        queue_->wake.notify_all();
        queue_->wake.wait_for(
            lock, last_write_time, [this] { return queue_->ended; });
        ended = queue_->ended;
    }
    // Where nobody reads standard output, the process ends all the same.
    if (ended)
        thread_.join();
    else
        thread_.detach();
}

std::uint64_t decision_log::dropped() const
{
    const std::lock_guard lock(queue_->mutex);
    return queue_->dropped + dropped_by_rate_;
}

bool decision_log::samples(std::string_view request, time_point now)
{
    if (now - second_began_ >= 1s)
    {
        const std::uint32_t wanted = routine_lines_ * one_in_;
        one_in_ = std::max<std::uint32_t>(
            1,
            (wanted + options_.routine_per_second - 1) /
                options_.routine_per_second);
        second_began_ = now;
        routine_lines_ = 0;
        other_lines_ = 0;
    }
    return std::hash<std::string_view>{}(request) % one_in_ == 0;
}

void decision_log::write(const log_line& line, time_point now)
{
    samples({}, now);
    if (other_lines_ >= options_.other_per_second)
    {
        ++dropped_by_rate_;
        return;
    }
    ++other_lines_;
    queue(line);
}

void decision_log::write_routine(const log_line& line, time_point)
{
    ++routine_lines_;
    queue(line);
}

void decision_log::queue(const log_line& line)
{
    std::string text =
        "{\"time_ms\":" + std::to_string(time_of_day().milliseconds) +
        ",\"uptime_us\":" +
        std::to_string(uptime().time_since_epoch().count()) + ",\"node\":\"" +
        node_ + "\",\"role\":\"" + role_ + "\"," + line.text() + "}\n";
    const std::lock_guard lock(queue_->mutex);
    if (queue_->lines.size() >= options_.queue)
    {
        ++queue_->dropped;
        return;
    }
    queue_->lines.push_back(std::move(text));
}

} // namespace bergamotusher::observe
