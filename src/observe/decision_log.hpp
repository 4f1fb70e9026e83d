// Structured log lines on standard output: one JSON object a line, for each
// decision that touches a request or changes what the process believes.
//
// Lines go through a bounded queue to a thread that writes, so that a reader
// that does not read delays nothing; what does not fit is dropped and counted.
// Lines of requests that went well are sampled by request once a rate is
// passed: a request is logged whole or not at all. The others have a bound of
// their own.
#pragma once

#include <bergamotusher/enum_names.hpp>
#include <bergamotusher/time.hpp>

#include <array>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <thread>

namespace bergamotusher::observe
{

/// What a line is about.
enum class decision
{
    process_started,
    process_stopping,
    process_stopped,
    settings_reloaded,
    settings_rejected,
    dependency_lost,
    dependency_regained,
    request_refused,
    request_sent,
    request_sent_again,
    request_finished,
    request_failed,
    caller_left,
    upstream_changed,
    upstream_doubted,
    site_changed,
    site_rejected,
    lease_changed,
    leader_changed,
    membership_changed,
    move_changed,
    usage_reported,
    rent_ordered,
    log_dropped
};

constexpr auto enum_names(decision)
{
    using row = enum_name<decision>;
    return std::array{
        row{decision::process_started, "process_started"},
        row{decision::process_stopping, "process_stopping"},
        row{decision::process_stopped, "process_stopped"},
        row{decision::settings_reloaded, "settings_reloaded"},
        row{decision::settings_rejected, "settings_rejected"},
        row{decision::dependency_lost, "dependency_lost"},
        row{decision::dependency_regained, "dependency_regained"},
        row{decision::request_refused, "request_refused"},
        row{decision::request_sent, "request_sent"},
        row{decision::request_sent_again, "request_sent_again"},
        row{decision::request_finished, "request_finished"},
        row{decision::request_failed, "request_failed"},
        row{decision::caller_left, "caller_left"},
        row{decision::upstream_changed, "upstream_changed"},
        row{decision::upstream_doubted, "upstream_doubted"},
        row{decision::site_changed, "site_changed"},
        row{decision::site_rejected, "site_rejected"},
        row{decision::lease_changed, "lease_changed"},
        row{decision::leader_changed, "leader_changed"},
        row{decision::membership_changed, "membership_changed"},
        row{decision::move_changed, "move_changed"},
        row{decision::usage_reported, "usage_reported"},
        row{decision::rent_ordered, "rent_ordered"},
        row{decision::log_dropped, "log_dropped"}};
}

/// One line while it is put together.
class log_line
{
public:
    explicit log_line(decision what);

    log_line& with(std::string_view name, std::string_view value);
    log_line& with(std::string_view name, const char* value);
    log_line& with(std::string_view name, std::int64_t value);
    log_line& with(std::string_view name, std::uint64_t value);
    log_line& with(std::string_view name, std::uint32_t value);
    log_line& with(std::string_view name, int value);
    log_line& with(std::string_view name, double value);
    /// In milliseconds.
    log_line& with(std::string_view name, duration value);

    decision what() const
    {
        return what_;
    }
    const std::string& text() const
    {
        return text_;
    }

private:
    decision what_;
    std::string text_;
};

/// Bounds on what a process writes.
struct decision_log_options
{
    /// Lines that wait for the writer.
    std::size_t queue = 4096;
    /// Lines a second of requests that went well; above it, requests are
    /// sampled.
    std::uint32_t routine_per_second = 150;
    /// Lines a second of everything else.
    std::uint32_t other_per_second = 300;
    /// The writer gathers lines for so long, to write them together.
    duration gather = 250ms;
    /// File descriptor that is written to: standard output.
    int output = 1;
};

class decision_log
{
public:
    decision_log(
        std::string node, std::string role, decision_log_options options);
    /// Writes what is queued, unless the reader does not read.
    ~decision_log();
    decision_log(const decision_log&) = delete;
    decision_log& operator=(const decision_log&) = delete;

    /// Whether the lines of a request that goes well are to be written.
    bool samples(std::string_view request, time_point now);

    /// Queues a line that is not sampled.
    void write(const log_line& line, time_point now);
    /// Queues a line of a request for which `samples` was true.
    void write_routine(const log_line& line, time_point now);

    /// Lines that were not written.
    std::uint64_t dropped() const;

private:
    /// What the writing thread works on; it outlives the log if that thread
    /// is stuck in a write.
    struct shared_queue;

    void queue(const log_line& line);

    std::string node_;
    std::string role_;
    decision_log_options options_;
    time_point second_began_;
    std::uint32_t routine_lines_ = 0;
    std::uint32_t other_lines_ = 0;
    /// One request in so many is sampled.
    std::uint32_t one_in_ = 1;
    std::uint64_t dropped_by_rate_ = 0;
    std::shared_ptr<shared_queue> queue_;
    std::thread thread_;
};

} // namespace bergamotusher::observe
