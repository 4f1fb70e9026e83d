// Injects the faults of a configuration soak: to processes, links, disks and
// clocks, in bursts that overlap, and tells the contact log of them.
#pragma once

#include "soak/contact_log.hpp"
#include "soak/fault_schedule.hpp"
#include "soak/processor_quota.hpp"
#include "soak/test_cluster.hpp"

#include <functional>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace soak
{

class configuration_faults
{
public:
    configuration_faults(
        test_cluster& cluster,
        contact_log& contacts,
        unsigned seed,
        time_point started_at);

    void inject_random_fault();
    /// Kills nodes, cuts their links, takes a disk or replaces a control node.
    /// Never stops or continues a process, which `limit_control_nodes` does.
    void inject_random_loss();
    /// From now on the control nodes have this processor time in each period.
    void limit_control_nodes(std::chrono::milliseconds quota);
    /// Kills the control node that leads; for the moment right after an
    /// acknowledgement.
    void kill_leader();
    /// Kills all nodes and starts them again after `down_time`. One control
    /// node loses its disk if `with_disk`, unless the last such loss is recent.
    void
    kill_everything(bool with_disk, std::chrono::milliseconds down_time = {});
    void end_due_faults(time_point now);
    void end_all_faults();

    /// The injected faults, one line each.
    std::vector<std::string> log;

private:
    unsigned random_control_node();
    unsigned random_node();
    std::chrono::milliseconds random_duration(int min_ms, int max_ms);
    void log_fault(const std::string& description);
    void
    schedule_end(std::chrono::milliseconds delay, std::function<void()> end);
    /// Marks a node as disturbed until `release`; false if it already is, or if
    /// too many control nodes are.
    bool reserve(unsigned node);
    void release(unsigned node);
    /// Tells the contact log; returns the function that ends the disturbance.
    std::function<void()> disturb(unsigned node, bool is_link = false);

    void kill(unsigned node);
    void freeze(unsigned node);
    void throttle(unsigned node);
    void stop(unsigned node);
    void disturb_message_link(unsigned node);
    void disturb_service_link();
    void lose_disk();
    /// Fills the disks of some control nodes, one after the other.
    void fill_disks();
    void stall_disk();
    void step_clock(unsigned node);
    void change_settings();
    void replace_control_node();
    void kill_control_nodes();
    void start(unsigned node);

    test_cluster& cluster_;
    contact_log& contacts_;
    std::mt19937 random_;
    time_point started_at_;
    std::set<unsigned> disturbed_;
    fault_schedule schedule_;
    time_point next_disk_loss_at_;
    time_point next_disk_fault_at_;
    std::optional<processor_quota> quota_;
};

} // namespace soak
