#include "soak/fault_schedule.hpp"

#include <algorithm>
#include <thread>

namespace soak
{

using std::chrono::milliseconds;

void sleep_ms(int ms)
{
    std::this_thread::sleep_for(milliseconds(ms));
}

bool wait_until(const std::function<bool()>& condition, milliseconds limit)
{
    const time_point deadline = clock_type::now() + limit;
    while (clock_type::now() < deadline)
    {
        if (condition())
            return true;
        sleep_ms(20);
    }
    return false;
}

milliseconds draw_duration(std::mt19937& random, int min_ms, int max_ms)
{
    return milliseconds(
        min_ms + static_cast<int>(random() % unsigned(max_ms - min_ms)));
}

void fault_schedule::add(time_point due_at, std::function<void()> action)
{
    actions_.push_back({due_at, std::move(action)});
}

void fault_schedule::run_due(time_point now)
{
    const auto first_due = std::stable_partition(
        actions_.begin(),
        actions_.end(),
        [now](const scheduled_action& each) { return each.due_at > now; });
    std::vector<scheduled_action> due(
        std::make_move_iterator(first_due),
        std::make_move_iterator(actions_.end()));
    actions_.erase(first_due, actions_.end());
    std::stable_sort(
        due.begin(),
        due.end(),
        [](const scheduled_action& a, const scheduled_action& b)
        { return a.due_at < b.due_at; });
    for (const scheduled_action& each : due)
        each.run();
}

void fault_schedule::run_all()
{
    run_due(time_point::max());
}

} // namespace soak
