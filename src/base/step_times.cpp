#include "base/step_times.hpp"

#include "base/clock.hpp"

#include <algorithm>

namespace bergamotusher
{

namespace
{

thread_local long_step current_step;
thread_local bool is_in_step = false;

} // namespace

measured_step::measured_step(step_times& times, std::string_view work)
    : times_(times)
{
    note_step_work(work);
    if (is_in_step)
        return;
    is_in_step = true;
    is_outermost_ = true;
    current_step.count = 1;
    began_ = thread_processor_time();
}

measured_step::~measured_step()
{
    if (!is_outermost_)
        return;
    is_in_step = false;
    current_step.processor_time = thread_processor_time() - began_;
    record_step(times_, current_step);
    current_step = {};
}

void note_step_work(std::string_view work)
{
    current_step.count = current_step.work == work ? current_step.count + 1 : 1;
    current_step.work = work;
}

void record_step(step_times& times, const long_step& step)
{
    const std::int64_t span = step.processor_time.count();
    const auto bound = std::lower_bound(
        step_time_bounds.begin(), step_time_bounds.end(), step.processor_time);
    const auto bucket =
        static_cast<std::size_t>(bound - step_time_bounds.begin());
    times.counts[bucket].fetch_add(1, std::memory_order_relaxed);
    times.total_us.fetch_add(span, std::memory_order_relaxed);
    if (span > times.longest_us.load(std::memory_order_relaxed))
        times.longest_us.store(span, std::memory_order_relaxed);
    if (step.processor_time > times.long_step_threshold && times.on_long_step)
        times.on_long_step(step);
}

void write_step_times_header(std::ostream& out)
{
    out << "# HELP bergamotusher_step_seconds Processor time of event "
           "handlers.\n# TYPE bergamotusher_step_seconds histogram\n";
}

void write_step_times(
    std::ostream& out, std::string_view thread, const step_times& times)
{
    const auto write_bucket = [&](const auto& bound, std::uint64_t count)
    {
        out << "bergamotusher_step_seconds_bucket{thread=\"" << thread
            << "\",le=\"" << bound << "\"} " << count << '\n';
    };
    std::uint64_t sum = 0;
    for (std::size_t i = 0; i < step_time_bounds.size(); ++i)
    {
        sum += times.counts[i].load(std::memory_order_relaxed);
        write_bucket(to_seconds(step_time_bounds[i]), sum);
    }
    sum += times.counts.back().load(std::memory_order_relaxed);
    write_bucket("+Inf", sum);
    out << "bergamotusher_step_seconds_sum{thread=\"" << thread << "\"} "
        << to_seconds(duration(times.total_us.load()))
        << "\nbergamotusher_step_seconds_count{thread=\"" << thread << "\"} "
        << sum << '\n';
}

} // namespace bergamotusher
