// Commits a second and their latency with three replicas in one process, over
// real files and loopback ZeroMQ, for several numbers of concurrent proposers;
// and the processor time and bytes a second of a node that is idle.
//
//   consensus_bench [seconds for each figure]
#include "control/local_cluster.hpp"

#include <algorithm>
#include <cstdio>
#include <sys/resource.h>
#include <thread>

using namespace local_cluster;

namespace
{

constexpr std::size_t command_bytes = 200;
constexpr std::size_t replicas = 3;
constexpr duration settling = 1s;

/// A state machine that costs nothing.
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

struct figures
{
    std::size_t committed = 0;
    std::size_t other = 0;
    std::vector<duration> latencies;
};

duration at_quantile(std::vector<duration>& values, double quantile)
{
    if (values.empty())
        return {};
    const auto index = static_cast<std::size_t>(
        quantile * static_cast<double>(values.size() - 1));
    const auto place = values.begin() + static_cast<std::ptrdiff_t>(index);
    std::nth_element(values.begin(), place, values.end());
    return *place;
}

/// Keeps `callers` proposals waiting at one node for `span`.
figures drive(member& at, std::size_t callers, duration span)
{
    static std::uint64_t next_ticket = 1;
    figures seen;
    std::map<std::uint64_t, time_point> begun;
    const time_point end = now() + span;
    const auto propose_one = [&]
    {
        const std::uint64_t ticket = next_ticket++;
        begun[ticket] = now();
        propose(
            *at.proposer,
            {ticket, std::string(command_bytes, 'x'), now() + 10s});
    };
    for (std::size_t i = 0; i < callers; ++i)
        propose_one();
    while (!begun.empty())
    {
        std::map<std::uint64_t, proposal_answer> answers;
        {
            std::unique_lock lock(at.seen.mutex);
            at.seen.changed.wait(
                lock, [&] { return !at.seen.answers.empty(); });
            answers.swap(at.seen.answers);
        }
        const time_point answered = now();
        for (const auto& [ticket, answer] : answers)
        {
            seen.latencies.push_back(answered - begun[ticket]);
            begun.erase(ticket);
            const bool good = answer.outcome == proposal_outcome::committed;
            ++(good ? seen.committed : seen.other);
            if (answered < end)
                propose_one();
        }
    }
    return seen;
}

void print(const char* where, std::size_t callers, figures seen, duration span)
{
    const auto ms = [](duration value)
    {
        return 1e3 * to_seconds(value);
    };
    std::printf(
        "| %s | %zu | %.0f | %.2f | %.2f | %zu |\n",
        where,
        callers,
        static_cast<double>(seen.committed) / to_seconds(span),
        ms(at_quantile(seen.latencies, 0.5)),
        ms(at_quantile(seen.latencies, 0.99)),
        seen.other);
}

duration processor_time()
{
    rusage usage{};
    ::getrusage(RUSAGE_SELF, &usage);
    const auto of = [](const timeval& value)
    {
        return duration(value.tv_sec * 1'000'000 + value.tv_usec);
    };
    return of(usage.ru_utime) + of(usage.ru_stime);
}

std::uint64_t bytes_sent(const cluster& all)
{
    std::uint64_t bytes = 0;
    for (const auto& member : all.members)
        for (const peer_traffic& kind : status_of(*member->peers).sent)
            bytes += kind.bytes;
    return bytes;
}

void print_idle(const cluster& all, duration span)
{
    // The last entries still go to the slowest replica.
    std::this_thread::sleep_for(settling);
    const duration processor = processor_time();
    const std::uint64_t bytes = bytes_sent(all);
    std::this_thread::sleep_for(span);
    const double nodes = static_cast<double>(all.members.size());
    std::printf(
        "\nidle, a node: %.2f%% of a core, %.0f message bytes a second sent\n",
        100 * to_seconds(processor_time() - processor) / to_seconds(span) /
            nodes,
        static_cast<double>(bytes_sent(all) - bytes) / to_seconds(span) /
            nodes);
}

} // namespace

int main(int argc, char** argv)
{
    const duration span = from_seconds(argc > 1 ? std::atof(argv[1]) : 5);
    cluster all;
    all.timing = {};
    all.configuration_lease = 3s;
    all.machine = null_machine;
    make_nodes(all, replicas);
    for (std::size_t i = 0; i < replicas; ++i)
        start_member(all, i);
    const std::size_t leader = wait_for_leader(all);
    const std::size_t follower = (leader + 1) % replicas;
    std::printf("| proposers at | callers | commits/s | p50 ms | p99 ms | "
                "not committed |\n|---|---|---|---|---|---|\n");
    for (const std::size_t callers : {1, 16, 256})
        print(
            "the leader",
            callers,
            drive(*all.members[leader], callers, span),
            span);
    for (const std::size_t callers : {1, 16, 256})
        print(
            "a follower",
            callers,
            drive(*all.members[follower], callers, span),
            span);
    print_idle(all, 2 * span);
    const control_status status = status_of(*all.members[leader]->control);
    std::printf(
        "leader: %llu syncs for %llu entries\n",
        static_cast<unsigned long long>(status.syncs),
        static_cast<unsigned long long>(status.last_index));
    stop_all(all);
}
