// Processor time of the handlers of a thread that has deadlines: while a
// handler runs, no timer of its thread fires and no message is answered.
#pragma once

#include <bergamotusher/time.hpp>

#include <array>
#include <atomic>
#include <cstdint>
#include <functional>
#include <ostream>
#include <string_view>

namespace bergamotusher
{

/// Upper bounds of the histogram of step times; longer steps have a bucket of
/// their own.
inline constexpr std::array<duration, 9> step_time_bounds{
    500us, 1ms, 2ms, 5ms, 10ms, 20ms, 50ms, 100ms, 500ms};

/// The work of a step that took long.
struct long_step
{
    duration processor_time{};
    /// What the step did last, and how often in a row; string literals.
    std::string_view work;
    std::uint64_t count = 0;
};

/// Step times of one thread. That thread records, any thread reads.
struct step_times
{
    /// Steps above this processor time are passed to `on_long_step`.
    duration long_step_threshold = 50ms;
    /// Called on the recorded thread; may be empty.
    std::function<void(const long_step&)> on_long_step;

    std::array<std::atomic<std::uint64_t>, step_time_bounds.size() + 1>
        counts{};
    std::atomic<std::int64_t> total_us{0};
    std::atomic<std::int64_t> longest_us{0};
};

/// Measures a handler of the calling thread from its construction to its
/// destruction. One inside another belongs to the same step.
class measured_step
{
public:
    measured_step(step_times& times, std::string_view work);
    ~measured_step();
    measured_step(const measured_step&) = delete;
    measured_step& operator=(const measured_step&) = delete;

private:
    step_times& times_;
    bool is_outermost_ = false;
    duration began_{};
};

/// Names what the running step does, for `on_long_step`; `work` must be a
/// string literal.
void note_step_work(std::string_view work);

void record_step(step_times& times, const long_step& step);

/// Writes the histogram `bergamotusher_step_seconds` of a thread in the
/// Prometheus text format, without its header.
void write_step_times(
    std::ostream& out, std::string_view thread, const step_times& times);
/// Writes the header, once for all threads.
void write_step_times_header(std::ostream& out);

} // namespace bergamotusher
