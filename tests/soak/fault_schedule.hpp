// Timing shared by the runs of the soak test: waits, and the ends of faults.
#pragma once

#include "soak/run_history.hpp"

#include <functional>
#include <random>
#include <vector>

namespace soak
{

void sleep_ms(int ms);

/// Whether the condition became true within `limit`; it is checked every 20 ms.
bool wait_until(
    const std::function<bool()>& condition, std::chrono::milliseconds limit);

/// Draws a duration from `min_ms` up to but excluding `max_ms`.
std::chrono::milliseconds
draw_duration(std::mt19937& random, int min_ms, int max_ms);

/// Actions that end faults, or begin later ones, each at its time.
class fault_schedule
{
public:
    void add(time_point due_at, std::function<void()> action);
    /// Runs the actions that are due, in the order of their times. Actions may
    /// add others.
    void run_due(time_point now);
    void run_all();

private:
    struct scheduled_action
    {
        time_point due_at;
        std::function<void()> run;
    };

    std::vector<scheduled_action> actions_;
};

} // namespace soak
