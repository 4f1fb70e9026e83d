// Which nodes of a run were in contact with the core at which time, from the
// faults that were injected. Bounds of the promises hold only for these.
#pragma once

#include "soak/run_history.hpp"

#include <map>
#include <mutex>
#include <vector>

namespace soak
{

/// Time without a fault after which a node is in contact; equals the setting
/// `contactMs`.
inline constexpr auto contact_time = std::chrono::milliseconds(3000);

enum class contact
{
    /// The node or its links were disturbed.
    lost,
    /// Only the core was disturbed, and more than half of it ran.
    core_unstable,
    /// Neither the node nor the core was disturbed.
    kept
};

class contact_log
{
public:
    explicit contact_log(unsigned control_nodes) : control_nodes_(control_nodes)
    {
    }

    /// Records the start of a disturbance of a node's process, or of its links;
    /// returns the number to end it with.
    std::size_t
    begin(unsigned node, bool is_control, time_point at, bool is_link = false);
    void end(std::size_t disturbance, time_point at);
    /// Records that a process of the node was started.
    void record_start(unsigned node, time_point at);

    /// The contact of an entry during all of [from - contact_time, until].
    contact contact_of(unsigned entry, time_point from, time_point until);
    /// How often the node had been started at that time.
    std::size_t life_of(unsigned node, time_point at);
    /// Whether nothing at all was disturbed during [from, until].
    bool is_calm(time_point from, time_point until);
    /// The longest span within [from, until] in which the core was stable and
    /// no link was disturbed.
    std::chrono::milliseconds longest_stable(time_point from, time_point until);

private:
    struct disturbance
    {
        unsigned node = 0;
        bool is_control = false;
        bool is_link = false;
        time_point from;
        time_point until = time_point::max();
    };

    std::mutex mutex_;
    unsigned control_nodes_;
    std::vector<disturbance> disturbances_;
    std::map<unsigned, std::vector<time_point>> starts_;
};

} // namespace soak
