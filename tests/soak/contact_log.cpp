#include "soak/contact_log.hpp"

#include <algorithm>
#include <set>

namespace soak
{

namespace
{

/// A control node that was disturbed counts as lost for this long afterwards;
/// equals the setting `catchUpS`.
constexpr auto catch_up_time = std::chrono::milliseconds(4000);

/// `time` later, without an overflow for the end of time.
time_point later(time_point at, std::chrono::milliseconds time)
{
    return at > time_point::max() - time ? time_point::max() : at + time;
}

} // namespace

std::size_t
contact_log::begin(unsigned node, bool is_control, time_point at, bool is_link)
{
    const std::lock_guard lock(mutex_);
    disturbances_.push_back({node, is_control, is_link, at});
    return disturbances_.size() - 1;
}

void contact_log::end(std::size_t disturbance, time_point at)
{
    const std::lock_guard lock(mutex_);
    disturbances_[disturbance].until = at;
}

void contact_log::record_start(unsigned node, time_point at)
{
    const std::lock_guard lock(mutex_);
    starts_[node].push_back(at);
}

contact
contact_log::contact_of(unsigned entry, time_point from, time_point until)
{
    const std::lock_guard lock(mutex_);
    const time_point since = from - contact_time;
    bool core_disturbed = false;
    std::set<unsigned> lost_control_nodes;
    for (const disturbance& each : disturbances_)
    {
        if (each.from > until || later(each.until, catch_up_time) < since)
            continue;
        if (each.is_control)
            lost_control_nodes.insert(each.node);
        if (each.until < since)
            continue;
        if (!each.is_control && each.node == entry)
            return contact::lost;
        core_disturbed = core_disturbed || each.is_control;
    }
    if (!core_disturbed)
        return contact::kept;
    return 2 * lost_control_nodes.size() < control_nodes_
               ? contact::core_unstable
               : contact::lost;
}

std::size_t contact_log::life_of(unsigned node, time_point at)
{
    const std::lock_guard lock(mutex_);
    const std::vector<time_point>& starts = starts_[node];
    return static_cast<std::size_t>(std::count_if(
        starts.begin(),
        starts.end(),
        [&](time_point start) { return start <= at; }));
}

bool contact_log::is_calm(time_point from, time_point until)
{
    const std::lock_guard lock(mutex_);
    return std::none_of(
        disturbances_.begin(),
        disturbances_.end(),
        [&](const disturbance& each)
        { return each.from <= until && each.until >= from; });
}

std::chrono::milliseconds
contact_log::longest_stable(time_point from, time_point until)
{
    const std::lock_guard lock(mutex_);
    std::vector<std::pair<time_point, time_point>> spans;
    for (const disturbance& each : disturbances_)
        if (each.is_control)
            spans.emplace_back(each.from, later(each.until, contact_time));
        else if (each.is_link)
            spans.emplace_back(each.from, each.until);
    std::sort(spans.begin(), spans.end());
    std::chrono::milliseconds longest{0};
    time_point stable_since = from;
    for (const auto& [begin, end] : spans)
    {
        if (begin > until)
            break;
        if (begin > stable_since)
            longest = std::max(
                longest,
                std::chrono::duration_cast<std::chrono::milliseconds>(
                    begin - stable_since));
        stable_since = std::max(stable_since, end);
    }
    if (until > stable_since)
        longest = std::max(
            longest,
            std::chrono::duration_cast<std::chrono::milliseconds>(
                until - stable_since));
    return longest;
}

} // namespace soak
