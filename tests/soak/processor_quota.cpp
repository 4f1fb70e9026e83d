#include "soak/processor_quota.hpp"

#include <algorithm>
#include <csignal>
#include <map>

namespace soak
{

using std::chrono::nanoseconds;

namespace
{

constexpr auto quota_period = std::chrono::milliseconds(100);
constexpr auto poll_interval = std::chrono::milliseconds(2);

/// What a node's process has used, and what it has left until the next period;
/// less than 0 if it used more than its quota between two polls.
struct usage
{
    nanoseconds used{0};
    nanoseconds left{0};
    bool runs = true;
};

} // namespace

processor_quota::processor_quota(
    test_cluster& cluster, std::chrono::milliseconds quota)
    : cluster_(cluster), quota_(quota), thread_([this] { run(); })
{
}

processor_quota::~processor_quota()
{
    stopping_ = true;
    thread_.join();
    for (const unsigned node : cluster_.control_nodes())
        cluster_.send(node, SIGCONT);
}

void processor_quota::run()
{
    std::map<unsigned, usage> usages;
    auto period_ends_at = std::chrono::steady_clock::now();
    while (!stopping_)
    {
        const bool begins = std::chrono::steady_clock::now() >= period_ends_at;
        if (begins)
            period_ends_at += quota_period;
        for (const unsigned node : cluster_.control_nodes())
        {
            const nanoseconds used = cluster_.processor_time(node);
            usage& each = usages[node];
            const bool is_new_process =
                used < each.used || each.used == nanoseconds(0);
            if (is_new_process)
                each = {used, quota_, true};
            each.left -= used - each.used;
            each.used = used;
            if (begins)
                each.left = std::min(each.left + quota_, quota_);
            const bool runs = each.left > nanoseconds(0);
            if (runs != each.runs)
                cluster_.send(node, runs ? SIGCONT : SIGSTOP);
            each.runs = runs;
        }
        std::this_thread::sleep_for(poll_interval);
    }
}

} // namespace soak
