#include "observe/decision_log.hpp"

#include "base/clock.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <functional>

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

decision_log::decision_log(
    std::string node, std::string role, decision_log_options options)
    : node_(std::move(node))
    , role_(std::move(role))
    , options_(options)
    , thread_([this] { run(); })
{
}

decision_log::~decision_log()
{
    {
        std::unique_lock lock(mutex_);
        stopping_ = true;
        wake_.notify_all();
        wake_.wait_for(lock, last_write_time, [this] { return ended_; });
        if (!ended_)
        {
            // Nobody reads standard output: the process ends all the same.
            thread_.detach();
            return;
        }
    }
    thread_.join();
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
        dropped_.fetch_add(1);
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
    const std::lock_guard lock(mutex_);
    if (lines_.size() >= options_.queue)
    {
        dropped_.fetch_add(1);
        return;
    }
    lines_.push_back(std::move(text));
}

void decision_log::run()
{
    std::unique_lock lock(mutex_);
    std::uint64_t told = 0;
    for (bool last = false; !last;)
    {
        wake_.wait_for(
            lock,
            std::chrono::microseconds(options_.gather),
            [this] { return stopping_; });
        last = stopping_;
        std::string batch;
        for (const std::string& line : lines_)
            batch += line;
        lines_.clear();
        lock.unlock();
        const std::uint64_t dropped = dropped_.load();
        if (dropped != told)
        {
            batch += "{\"event\":\"log_dropped\",\"node\":\"" + node_ +
                     "\",\"lines\":" + std::to_string(dropped - told) + "}\n";
            told = dropped;
        }
        if (!batch.empty())
        {
            std::fwrite(batch.data(), 1, batch.size(), stdout);
            std::fflush(stdout);
        }
        lock.lock();
    }
    ended_ = true;
    wake_.notify_all();
}

} // namespace bergamotusher::observe
