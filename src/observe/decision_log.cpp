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

/// Time that the destructor waits for the writer thread.
constexpr auto shutdown_flush_timeout = std::chrono::milliseconds(500);

void append_field_name(std::string& text, std::string_view name)
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
    append_field_name(text_, name);
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
    append_field_name(text_, name);
    text_ += std::to_string(value);
    return *this;
}

log_line& log_line::with(std::string_view name, std::uint64_t value)
{
    append_field_name(text_, name);
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
    append_field_name(text_, name);
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
    bool writer_finished = false;
};

namespace
{

/// Writes all of `text`. Discards the rest after an error, since there is no
/// other output that could report it.
void write_all(int output_fd, std::string_view text)
{
    while (!text.empty())
    {
        const ssize_t size = ::write(output_fd, text.data(), text.size());
        if (size < 0 && errno == EINTR)
            continue;
        if (size <= 0)
            return;
        text.remove_prefix(static_cast<std::size_t>(size));
    }
}

/// Body of the writer thread: writes queued lines in batches until `stopping`
/// is set, and reports how many lines a full queue has dropped.
template<class Queue>
void write_lines(
    Queue& queue,
    const std::string& node,
    duration batch_interval,
    int output_fd)
{
    std::unique_lock lock(queue.mutex);
    std::uint64_t reported_drops = 0;
    for (bool final_batch = false; !final_batch;)
    {
        queue.wake.wait_for(
            lock,
            std::chrono::microseconds(batch_interval),
            [&queue] { return queue.stopping; });
        final_batch = queue.stopping;
        std::string batch;
        for (const std::string& line : queue.lines)
            batch += line;
        queue.lines.clear();
        if (queue.dropped != reported_drops)
        {
            batch += "{\"event\":\"log_dropped\",\"node\":\"" + node +
                     "\",\"lines\":" +
                     std::to_string(queue.dropped - reported_drops) + "}\n";
            reported_drops = queue.dropped;
        }
        lock.unlock();
        write_all(output_fd, batch);
        lock.lock();
    }
    queue.writer_finished = true;
    queue.wake.notify_all();
}

} // namespace

decision_log::decision_log(
    std::string node, std::string role, decision_log_options options)
    : node_(std::move(node))
    , role_(std::move(role))
    , options_(options)
    , queue_(std::make_shared<shared_queue>())
    , thread_(
          [queue = queue_, node = node_, options] {
              write_lines(
                  *queue, node, options.batch_interval, options.output_fd);
          })
{
}

decision_log::~decision_log()
{
    bool writer_finished = false;
    {
        std::unique_lock lock(queue_->mutex);
        queue_->stopping = true;
        queue_->wake.notify_all();
        queue_->wake.wait_for(
            lock,
            shutdown_flush_timeout,
            [this] { return queue_->writer_finished; });
        writer_finished = queue_->writer_finished;
    }
    // A writer blocked by a stalled reader must not prevent process exit.
    if (writer_finished)
        thread_.join();
    else
        thread_.detach();
}

std::uint64_t decision_log::dropped() const
{
    const std::lock_guard lock(queue_->mutex);
    return queue_->dropped + dropped_by_rate_;
}

bool decision_log::is_sampled(std::string_view request, time_point now)
{
    if (now - second_start_ >= 1s)
    {
        const std::uint32_t offered_lines = routine_lines_ * sampling_divisor_;
        sampling_divisor_ = std::max<std::uint32_t>(
            1,
            (offered_lines + options_.routine_per_second - 1) /
                options_.routine_per_second);
        second_start_ = now;
        routine_lines_ = 0;
        other_lines_ = 0;
    }
    return std::hash<std::string_view>{}(request) % sampling_divisor_ == 0;
}

void decision_log::write(const log_line& line, time_point now)
{
    is_sampled({}, now);
    if (other_lines_ >= options_.other_per_second)
    {
        ++dropped_by_rate_;
        return;
    }
    ++other_lines_;
    enqueue(line);
}

void decision_log::write_sampled(const log_line& line, time_point)
{
    ++routine_lines_;
    enqueue(line);
}

void decision_log::enqueue(const log_line& line)
{
    std::string text =
        "{\"time_ms\":" + std::to_string(time_of_day().milliseconds) +
        ",\"uptime_us\":" +
        std::to_string(uptime().time_since_epoch().count()) + ",\"node\":\"" +
        node_ + "\",\"role\":\"" + role_ + "\"," + line.text() + "}\n";
    const std::lock_guard lock(queue_->mutex);
    if (queue_->lines.size() >= options_.queue_capacity)
    {
        ++queue_->dropped;
        return;
    }
    queue_->lines.push_back(std::move(text));
}

} // namespace bergamotusher::observe
