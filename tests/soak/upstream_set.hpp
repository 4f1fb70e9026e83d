// Simulated upstreams inside the test process. They announce themselves to the
// control nodes and record every request that they execute.
#pragma once

#include "soak/http.hpp"
#include "soak/run_history.hpp"
#include "soak/test_cluster.hpp"

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <random>
#include <string>
#include <thread>
#include <vector>

namespace soak
{

inline constexpr unsigned upstream_count = 6;
/// Upstreams take several seconds for requests below this path.
inline constexpr const char* slow_path = "/slow/";
/// A request whose path ends in this and a number takes that many milliseconds;
/// those of a stream are spread over its events.
inline constexpr const char* work_time_suffix = "?work-ms=";
/// A request whose path ends in this and a name gets that endless answer.
inline constexpr const char* endless_suffix = "?endless=";

class upstream_set
{
public:
    /// Executions of requests whose path does not belong to a `request_kind`
    /// are passed to `on_other_execution` instead of the history.
    upstream_set(
        test_cluster& cluster,
        run_history& history,
        unsigned seed,
        std::function<void(const execution_record&)> on_other_execution = {});
    ~upstream_set();

    /// Stops the upstream at `index` without notice to the control nodes.
    void crash(unsigned index);
    /// Replaces the upstream at `index` by a new one with a new id.
    void restart(unsigned index);
    /// Announces the upstream as draining until a control node acknowledges it;
    /// returns whether that happened before the deadline.
    bool drain(unsigned index, time_point deadline);
    /// The link through which entries reach the upstream at `index`.
    link& link_to(unsigned index);

private:
    struct upstream;

    void start(unsigned index);
    void announce_all();
    bool announce(upstream& announced);

    test_cluster& cluster_;
    run_history& history_;
    std::function<void(const execution_record&)> on_other_execution_;
    std::mt19937 random_;
    std::mutex mutex_;
    unsigned next_id_ = 0;
    std::vector<std::unique_ptr<link>> links_;
    std::vector<std::shared_ptr<upstream>> upstreams_;
    std::atomic<bool> stopping_{false};
    std::thread announcer_;
};

} // namespace soak
