// Limits the processor time of control nodes, as a quota of the platform does.
#pragma once

#include "soak/test_cluster.hpp"

#include <atomic>
#include <chrono>
#include <thread>

namespace soak
{

/// Stops each control node for the rest of a period once it has used its quota,
/// until destroyed. A process that was started meanwhile has a quota too.
class processor_quota
{
public:
    processor_quota(test_cluster& cluster, std::chrono::milliseconds quota);
    ~processor_quota();
    processor_quota(const processor_quota&) = delete;
    processor_quota& operator=(const processor_quota&) = delete;

private:
    void run();

    test_cluster& cluster_;
    std::chrono::nanoseconds quota_;
    std::atomic<bool> stopping_{false};
    std::thread thread_;
};

} // namespace soak
