// Structured log on standard output: one JSON object a line, for each decision
// about a request and each change of the process's state.
//
// A bounded queue passes the lines to a writer thread, so that a stalled
// reader of standard output does not block the callers of the log; lines that
// do not fit are dropped and counted. Above a rate limit, lines of successful
// requests are sampled by id: all lines of an id are written or none. All
// other lines have a rate limit of their own.
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

/// The kind of decision or state change that a line reports.
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
    departure_not_recorded,
    upstream_doubted,
    upstream_died,
    upstream_limited,
    content_suspended,
    content_resumed,
    site_changed,
    site_read,
    site_rejected,
    change_answered,
    lease_changed,
    leader_changed,
    membership_changed,
    move_changed,
    evacuation_changed,
    share_changed,
    usage_reported,
    rent_ordered,
    step_was_long,
    loop_was_late,
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
        row{decision::departure_not_recorded, "departure_not_recorded"},
        row{decision::upstream_doubted, "upstream_doubted"},
        row{decision::upstream_died, "upstream_died"},
        row{decision::upstream_limited, "upstream_limited"},
        row{decision::content_suspended, "content_suspended"},
        row{decision::content_resumed, "content_resumed"},
        row{decision::site_changed, "site_changed"},
        row{decision::site_read, "site_read"},
        row{decision::site_rejected, "site_rejected"},
        row{decision::change_answered, "change_answered"},
        row{decision::lease_changed, "lease_changed"},
        row{decision::leader_changed, "leader_changed"},
        row{decision::membership_changed, "membership_changed"},
        row{decision::move_changed, "move_changed"},
        row{decision::evacuation_changed, "evacuation_changed"},
        row{decision::share_changed, "share_changed"},
        row{decision::usage_reported, "usage_reported"},
        row{decision::rent_ordered, "rent_ordered"},
        row{decision::step_was_long, "step_was_long"},
        row{decision::loop_was_late, "loop_was_late"},
        row{decision::log_dropped, "log_dropped"}};
}

/// Builds the JSON fields of one line. Field names are not escaped.
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

/// Limits on what a process writes.
struct decision_log_options
{
    /// Maximum number of lines waiting for the writer thread.
    std::size_t queue_capacity = 4096;
    /// Lines a second of successful requests above which requests are
    /// sampled.
    std::uint32_t routine_per_second = 150;
    /// Maximum number of other lines a second; the rest is dropped.
    std::uint32_t other_per_second = 300;
    /// The writer thread collects lines for this time and writes them at
    /// once.
    duration batch_interval = 250ms;
    /// File descriptor that lines are written to; 1 is standard output.
    int output_fd = 1;
};

/// Writes log lines at a limited rate without blocking the caller.
class decision_log
{
public:
    decision_log(
        std::string node, std::string role, decision_log_options options);
    /// Writes the queued lines, but waits only a bounded time for a stalled
    /// reader of the output.
    ~decision_log();
    decision_log(const decision_log&) = delete;
    decision_log& operator=(const decision_log&) = delete;

    /// Whether the lines of a successful request are to be written. `request`
    /// is the id that decides; the answer for an id can change only when a
    /// second has passed and the sampling rate is adapted.
    bool is_sampled(std::string_view request, time_point now);

    /// Queues a line that is not subject to sampling, or drops it if
    /// `other_per_second` is exceeded.
    void write(const log_line& line, time_point now);
    /// Queues a line of a successful request for which `is_sampled` returned
    /// true.
    void write_sampled(const log_line& line, time_point now);

    /// Lines dropped since the start, by the rate limit or a full queue.
    std::uint64_t dropped() const;

private:
    /// State shared with the writer thread. It outlives the log if that thread
    /// is blocked in a write.
    struct shared_queue;

    void enqueue(const log_line& line);

    std::string node_;
    std::string role_;
    decision_log_options options_;
    time_point second_start_;
    std::uint32_t routine_lines_ = 0;
    std::uint32_t other_lines_ = 0;
    /// One of this many requests is logged.
    std::uint32_t sampling_divisor_ = 1;
    std::uint64_t dropped_by_rate_ = 0;
    std::shared_ptr<shared_queue> queue_;
    std::thread thread_;
};

} // namespace bergamotusher::observe
