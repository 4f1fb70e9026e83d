// Measures commits per second and commit latency for several numbers of
// concurrent proposers, with three replicas in one process that use real files
// and ZeroMQ on loopback, then the processor time and the bytes sent per second
// of an idle node.
//
//   consensus_bench [seconds for each figure]
#include "base/clock.hpp"
#include "control/local_cluster.hpp"

#include <algorithm>
#include <cstdio>
#include <thread>

using namespace local_cluster;

namespace
{

constexpr std::size_t command_bytes = 200;
constexpr std::size_t replica_count = 3;
constexpr duration settle_time = 1s;

/// Returns a state machine that does no work, so that only consensus is
/// measured.
state_machine null_machine(observed& seen)
{
    state_machine machine = list_machine(seen);
    machine.apply = [](std::uint64_t, const std::string&)
    {
        return std::string("done");
    };
    machine.snapshot = []
    {
        return std::string("state");
    };
    machine.restore = [](std::uint64_t, const std::string&) {
    };
    return machine;
}

struct load_result
{
    std::size_t committed = 0;
    std::size_t not_committed = 0;
    std::vector<duration> latencies;
};

duration quantile_of(std::vector<duration>& samples, double quantile)
{
    if (samples.empty())
        return {};
    const auto index = static_cast<std::size_t>(
        quantile * static_cast<double>(samples.size() - 1));
    const auto position = samples.begin() + static_cast<std::ptrdiff_t>(index);
    std::nth_element(samples.begin(), position, samples.end());
    return *position;
}

/// Keeps `proposers` proposals outstanding at one node for `run_time`, then
/// waits for the last ones.
load_result
run_proposers(member& node, std::size_t proposers, duration run_time)
{
    static std::uint64_t next_ticket = 1;
    load_result seen;
    std::map<std::uint64_t, time_point> start_times;
    const time_point end_time = now() + run_time;
    const auto propose_one = [&]
    {
        const std::uint64_t ticket = next_ticket++;
        start_times[ticket] = now();
        propose(
            *node.proposer,
            {ticket, std::string(command_bytes, 'x'), now() + 10s});
    };
    for (std::size_t i = 0; i < proposers; ++i)
        propose_one();
    while (!start_times.empty())
    {
        std::map<std::uint64_t, proposal_answer> answers;
        {
            std::unique_lock lock(node.seen.mutex);
            node.seen.changed.wait(
                lock, [&] { return !node.seen.answers.empty(); });
            answers.swap(node.seen.answers);
        }
        const time_point answered_at = now();
        for (const auto& [ticket, answer] : answers)
        {
            seen.latencies.push_back(answered_at - start_times[ticket]);
            start_times.erase(ticket);
            const bool is_committed =
                answer.outcome == proposal_outcome::committed;
            ++(is_committed ? seen.committed : seen.not_committed);
            if (answered_at < end_time)
                propose_one();
        }
    }
    return seen;
}

void print(
    const char* proposer_location,
    std::size_t proposers,
    load_result seen,
    duration run_time)
{
    const auto ms = [](duration value)
    {
        return 1e3 * to_seconds(value);
    };
    std::printf(
        "| %s | %zu | %.0f | %.2f | %.2f | %zu |\n",
        proposer_location,
        proposers,
        static_cast<double>(seen.committed) / to_seconds(run_time),
        ms(quantile_of(seen.latencies, 0.5)),
        ms(quantile_of(seen.latencies, 0.99)),
        seen.not_committed);
}

std::uint64_t bytes_sent(const cluster& nodes)
{
    std::uint64_t bytes = 0;
    for (const auto& member : nodes.members)
        for (const peer_traffic& traffic : status_of(*member->peers).sent)
            bytes += traffic.bytes;
    return bytes;
}

void print_idle(const cluster& nodes, duration run_time)
{
    // The last entries may still be on their way to the slowest replica.
    std::this_thread::sleep_for(settle_time);
    const duration processor = process_processor_time();
    const std::uint64_t bytes = bytes_sent(nodes);
    std::this_thread::sleep_for(run_time);
    const double node_count = static_cast<double>(nodes.members.size());
    std::printf(
        "\nidle, a node: %.2f%% of a core, %.0f message bytes a second sent\n",
        100 * to_seconds(process_processor_time() - processor) /
            to_seconds(run_time) / node_count,
        static_cast<double>(bytes_sent(nodes) - bytes) / to_seconds(run_time) /
            node_count);
}

} // namespace

int main(int argc, char** argv)
{
    const duration run_time = from_seconds(argc > 1 ? std::atof(argv[1]) : 5);
    cluster nodes;
    nodes.timing = {};
    nodes.configuration_lease = 3s;
    nodes.machine = null_machine;
    make_nodes(nodes, replica_count);
    for (std::size_t i = 0; i < replica_count; ++i)
        start_member(nodes, i);
    const std::size_t leader = wait_for_leader(nodes);
    const std::size_t follower = (leader + 1) % replica_count;
    std::printf("| proposers at | callers | commits/s | p50 ms | p99 ms | "
                "not committed |\n|---|---|---|---|---|---|\n");
    for (const std::size_t proposers : {1, 16, 256})
        print(
            "the leader",
            proposers,
            run_proposers(*nodes.members[leader], proposers, run_time),
            run_time);
    for (const std::size_t proposers : {1, 16, 256})
        print(
            "a follower",
            proposers,
            run_proposers(*nodes.members[follower], proposers, run_time),
            run_time);
    print_idle(nodes, 2 * run_time);
    const control_status status = status_of(*nodes.members[leader]->control);
    std::printf(
        "leader: %llu syncs for %llu entries\n",
        static_cast<unsigned long long>(status.syncs),
        static_cast<unsigned long long>(status.last_index));
    stop_all(nodes);
}
