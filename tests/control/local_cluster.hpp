// Fixture: control duties of several nodes in one process that communicate over
// loopback and write real files, with short timeouts. Used by the tests and the
// benchmark.
#pragma once

#include "daemon/control_duty.hpp"

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdlib>
#include <filesystem>
#include <map>
#include <mutex>
#include <stdexcept>
#include <string>
#include <unistd.h>
#include <vector>

namespace local_cluster
{

using namespace bergamotusher;

/// A temporary folder that the destructor removes.
struct temporary_folder
{
    temporary_folder()
    {
        std::string made = std::filesystem::temp_directory_path().string() +
                           "/bergamotusher-XXXXXX";
        if (::mkdtemp(made.data()) == nullptr)
            throw std::runtime_error("cannot create a temporary folder");
        path = made;
    }
    ~temporary_folder()
    {
        std::error_code ignored;
        std::filesystem::remove_all(path, ignored);
    }
    temporary_folder(const temporary_folder&) = delete;
    temporary_folder& operator=(const temporary_folder&) = delete;

    std::string path;
};

/// Results reported by a node's threads; guarded by `mutex`.
struct observed
{
    std::mutex mutex;
    std::condition_variable changed;
    std::vector<std::string> applied;
    std::map<std::uint64_t, proposal_answer> answers;
    std::size_t answered = 0;
    time_point configuration_until;
    bool leads = false;
};

struct member
{
    observed seen;
    peers_duty_ptr peers;
    control_handle control;
    bergamotusher::proposer* proposer = nullptr;
};

/// An address that nothing else uses: the IP address is of this process, so
/// that no outgoing connection of another one is given its port.
inline std::string free_address()
{
    constexpr int first_port = 7000;
    static std::atomic<int> next_port{first_port};
    const auto id = static_cast<unsigned>(::getpid());
    return "127." + std::to_string(20 + (id >> 16U) % 50) + "." +
           std::to_string((id >> 8U) & 0xffU) + "." +
           std::to_string(id & 0xffU) + ":" + std::to_string(next_port++);
}

inline time_point now()
{
    return std::chrono::time_point_cast<duration>(
        std::chrono::steady_clock::now());
}

inline consensus::timing short_timing()
{
    return {
        .heartbeat = 20ms,
        .election_min = 200ms,
        .election_max = 400ms,
        .lease = 150ms,
        .clock_drift = 0.05,
        .voter_lost_after = 600ms};
}

/// A state machine whose state is the list of applied commands; the result of a
/// command is "done " and the command.
inline state_machine list_machine(observed& seen)
{
    state_machine machine;
    machine.apply = [&seen](std::uint64_t, const std::string& command)
    {
        const std::lock_guard lock(seen.mutex);
        seen.applied.push_back(command);
        seen.changed.notify_all();
        return "done " + command;
    };
    machine.snapshot = [&seen]
    {
        const std::lock_guard lock(seen.mutex);
        std::string bytes;
        for (const std::string& command : seen.applied)
            bytes += command + '\n';
        return bytes;
    };
    machine.restore = [&seen](std::uint64_t, const std::string& bytes)
    {
        const std::lock_guard lock(seen.mutex);
        seen.applied.clear();
        std::size_t begin = 0;
        for (std::size_t end = bytes.find('\n'); end != std::string::npos;
             end = bytes.find('\n', begin))
        {
            seen.applied.push_back(bytes.substr(begin, end - begin));
            begin = end + 1;
        }
        seen.changed.notify_all();
    };
    machine.on_leadership = [&seen](bool leads, std::uint64_t)
    {
        const std::lock_guard lock(seen.mutex);
        seen.leads = leads;
        seen.changed.notify_all();
    };
    return machine;
}

struct cluster
{
    temporary_folder folder;
    std::vector<peer_address> nodes;
    std::vector<std::unique_ptr<member>> members;
    consensus::timing timing = short_timing();
    consensus::snapshot_policy snapshots;
    duration configuration_lease = 600ms;
    std::uint64_t starts = 0;
    std::function<state_machine(observed&)> machine = list_machine;
};

inline void record_message(observed& seen, control_message&& message)
{
    const std::lock_guard lock(seen.mutex);
    if (auto* answer = std::get_if<proposal_answer>(&message))
    {
        ++seen.answered;
        seen.answers[answer->ticket] = std::move(*answer);
    }
    else if (const auto* lease = std::get_if<configuration_lease>(&message))
        seen.configuration_until = lease->valid_until;
    seen.changed.notify_all();
}

inline std::string data_dir(const cluster& all, std::size_t index)
{
    return all.folder.path + "/" + all.nodes[index].id.value;
}

inline peers_options peers_options_of(cluster& all, std::size_t index)
{
    peers_options options;
    options.self = all.nodes[index].id;
    options.incarnation = ++all.starts;
    options.address = all.nodes[index].address;
    options.peers = all.nodes;
    return options;
}

inline control_options control_options_of(const cluster& all, std::size_t index)
{
    control_options options;
    options.self = all.nodes[index].id;
    options.nodes = all.nodes;
    options.data_dir = data_dir(all, index);
    options.timing = all.timing;
    options.snapshots = all.snapshots;
    options.configuration_lease = all.configuration_lease;
    options.confirmation_interval = all.configuration_lease / 4;
    return options;
}

/// Starts a node; throws `std::runtime_error` with the failure's detail.
inline void start_member(
    cluster& all,
    std::size_t index,
    const std::function<void(peers_options&, control_options&)>& adjust = {})
{
    auto made = std::make_unique<member>();
    peers_options peers = peers_options_of(all, index);
    control_options control = control_options_of(all, index);
    if (adjust)
        adjust(peers, control);
    made->peers = make_peers_duty(std::move(peers));
    made->control =
        make_control(std::move(control), all.machine(made->seen), *made->peers);
    constexpr std::size_t proposer_capacity = 4096;
    made->proposer = &make_proposer(
        *made->control,
        proposer_capacity,
        [&seen = made->seen](control_message&& message)
        { record_message(seen, std::move(message)); });
    for (auto failed : {start(*made->control), start(*made->peers)})
        if (failed)
            throw std::runtime_error(failed->detail);
    all.members[index] = std::move(made);
}

/// Stops a node and keeps its files.
inline void stop_member(cluster& all, std::size_t index)
{
    member& ended = *all.members[index];
    stop(*ended.peers);
    stop(*ended.control);
    ended.control.reset();
    all.members[index].reset();
}

inline void make_nodes(cluster& all, std::size_t count)
{
    for (std::size_t i = 0; i < count; ++i)
    {
        const std::string id = "n" + std::to_string(i);
        all.nodes.push_back({{id}, free_address(), {"domain of " + id}});
    }
    all.members.resize(count);
}

inline void stop_all(cluster& all)
{
    for (std::size_t i = 0; i < all.members.size(); ++i)
        if (all.members[i])
            stop_member(all, i);
}

/// Waits until `done` is true, at most for `limit`; false on timeout. `done` is
/// called under the mutex, after each change at the node and every 5 ms.
template<class Done>
bool wait_for(observed& seen, duration limit, Done done)
{
    constexpr auto poll_interval = std::chrono::milliseconds(5);
    const time_point end = now() + limit;
    std::unique_lock lock(seen.mutex);
    while (!done())
    {
        if (now() >= end)
            return false;
        seen.changed.wait_for(lock, poll_interval);
    }
    return true;
}

/// Waits for a node that may give orders and returns its index; throws if there
/// is none within `limit`.
inline std::size_t wait_for_leader(cluster& all, duration limit = 10s)
{
    std::size_t leader = 0;
    observed any;
    const bool found = wait_for(
        any,
        limit,
        [&]
        {
            for (leader = 0; leader < all.members.size(); ++leader)
                if (all.members[leader] &&
                    order_fence(*all.members[leader]->control, now()))
                    return true;
            return false;
        });
    if (!found)
        throw std::runtime_error("no node became leader within the time limit");
    return leader;
}

/// Proposes a command with the deadline `limit` and returns its answer; throws
/// if none arrives within 1 s after the deadline.
inline proposal_answer propose_and_wait(
    member& at, std::uint64_t ticket, std::string command, duration limit = 5s)
{
    propose(*at.proposer, {ticket, std::move(command), now() + limit});
    const bool answered = wait_for(
        at.seen, limit + 1s, [&] { return at.seen.answers.count(ticket) > 0; });
    if (!answered)
        throw std::runtime_error(
            "a proposal was not answered within its time limit");
    const std::lock_guard lock(at.seen.mutex);
    return at.seen.answers[ticket];
}

} // namespace local_cluster
