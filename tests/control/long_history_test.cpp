// Guards against a start that takes as long as the history was: hundreds of
// changes were applied in one step of the control thread, which sent no
// heartbeat and granted no vote meanwhile, so that each leader lost its term to
// the next one.
#include "base/clock.hpp"
#include "control/control_node.hpp"
#include "control/local_cluster.hpp"

#include <catch2/catch.hpp>

#include <thread>

using namespace local_cluster;

namespace
{

/// A state machine that keeps the last command, and takes `apply_time` for
/// each.
state_machine last_command_machine(observed& seen, duration apply_time)
{
    state_machine machine = list_machine(seen);
    const auto store = [&seen](const std::string& command)
    {
        const std::lock_guard lock(seen.mutex);
        seen.applied = {command};
        seen.changed.notify_all();
        return std::string();
    };
    machine.apply =
        [store, apply_time](std::uint64_t, const std::string& command)
    {
        if (apply_time > 0s)
            std::this_thread::sleep_for(apply_time);
        return store(command);
    };
    machine.snapshot = [&seen]
    {
        const std::lock_guard lock(seen.mutex);
        return seen.applied.empty() ? std::string() : seen.applied.front();
    };
    machine.restore = [store](std::uint64_t, const std::string& bytes)
    {
        store(bytes);
    };
    return machine;
}

void make_cluster(cluster& all, std::size_t count, duration apply_time)
{
    all.machine = [apply_time](observed& seen)
    {
        return last_command_machine(seen, apply_time);
    };
    make_nodes(all, count);
    for (std::size_t i = 0; i < count; ++i)
        start_member(all, i);
}

bool wait_for_last(
    cluster& all, std::size_t index, const std::string& last, duration limit)
{
    observed& seen = all.members[index]->seen;
    return wait_for(
        seen,
        limit,
        [&] { return !seen.applied.empty() && seen.applied.front() == last; });
}

bool wait_for_confirmation(cluster& all, std::size_t index, duration limit)
{
    observed& seen = all.members[index]->seen;
    return wait_for(
        seen, limit, [&] { return seen.configuration_until > now(); });
}

std::uintmax_t bytes_on_disk(const std::string& folder)
{
    std::uintmax_t bytes = 0;
    for (const auto& file : std::filesystem::directory_iterator(folder))
        bytes += file.file_size();
    return bytes;
}

} // namespace

TEST_CASE("a leader keeps its term while it replays a long history")
{
    constexpr std::size_t nodes = 3;
    constexpr std::uint64_t changes = 700;
    cluster all;
    make_cluster(all, nodes, 0s);
    const std::size_t leader = wait_for_leader(all);
    for (std::uint64_t i = 1; i <= changes; ++i)
        propose(
            *all.members[leader]->proposer,
            {i, "c" + std::to_string(i), now() + 10s});
    const std::string last = "c" + std::to_string(changes);
    for (std::size_t i = 0; i < nodes; ++i)
        REQUIRE(wait_for_last(all, i, last, 10s));
    const std::uint64_t term_before =
        status_of(*all.members[leader]->control).term;
    stop_all(all);

    // The replay takes several times the election timeout.
    static constexpr duration apply_time = 4ms;
    all.machine = [](observed& seen)
    {
        return last_command_machine(seen, apply_time);
    };
    for (std::size_t i = 0; i < nodes; ++i)
        start_member(all, i);
    for (std::size_t i = 0; i < nodes; ++i)
    {
        CHECK(wait_for_last(all, i, last, 10s));
        CHECK(wait_for_confirmation(all, i, 5s));
    }
    const std::uint64_t terms_begun =
        status_of(*all.members[0]->control).term - term_before;
    // Elections after the start may be split.
    CHECK(terms_begun <= 3);
    stop_all(all);
}

// Guards against pieces that are bounded by their number of entries alone:
// sixteen small commands may take long to apply.
TEST_CASE("commands that are slow to apply are replayed in short steps")
{
    constexpr std::uint64_t changes = 60;
    cluster all;
    make_cluster(all, 1, 0s);
    wait_for_leader(all);
    for (std::uint64_t i = 1; i <= changes; ++i)
        REQUIRE(
            propose_and_wait(*all.members[0], i, "c" + std::to_string(i))
                .outcome == proposal_outcome::committed);
    stop_all(all);

    all.machine = [](observed& seen)
    {
        state_machine machine = last_command_machine(seen, 0s);
        machine.apply = [apply = machine.apply](
                            std::uint64_t index, const std::string& command)
        {
            constexpr duration processor_time = 8ms;
            const duration end = thread_processor_time() + processor_time;
            while (thread_processor_time() < end)
                ;
            return apply(index, command);
        };
        return machine;
    };
    start_member(all, 0);
    CHECK(wait_for_last(all, 0, "c" + std::to_string(changes), 20s));
    constexpr duration max_step = 50ms;
    CHECK(
        duration(steps_of(*all.members[0]->control).longest_us.load()) <
        max_step);
    stop_all(all);
}

TEST_CASE("what is kept of large changes follows the size of the state")
{
    constexpr std::size_t change_bytes = std::size_t{150} * 1024;
    constexpr std::uint64_t changes = 200;
    cluster all;
    make_cluster(all, 1, 0s);
    wait_for_leader(all);
    const auto change = [&](std::uint64_t number)
    {
        std::string text = std::to_string(number) + " ";
        text.resize(change_bytes, 'x');
        return text;
    };
    for (std::uint64_t i = 1; i <= changes; ++i)
        REQUIRE(
            propose_and_wait(*all.members[0], i, change(i)).outcome ==
            proposal_outcome::committed);

    // Once for the state, four times for the log above it, twice for what is
    // kept and what is being written.
    constexpr std::size_t max_bytes = std::size_t{8} * 1024 * 1024;
    CHECK(status_of(*all.members[0]->control).log_bytes < max_bytes);
    CHECK(bytes_on_disk(data_dir(all, 0)) < max_bytes);

    SECTION("so that a start reads no more than that")
    {
        stop_all(all);
        start_member(all, 0);
        CHECK(status_of(*all.members[0]->control).opened_bytes < max_bytes);
        CHECK(wait_for_last(all, 0, change(changes), 5s));
    }
    stop_all(all);
}

TEST_CASE("changes that find no quorum do not fill the leader's memory")
{
    constexpr std::size_t change_bytes = std::size_t{1024} * 1024;
    cluster all;
    make_cluster(all, 3, 0s);
    const std::size_t leader = wait_for_leader(all);
    for (std::size_t i = 0; i < 3; ++i)
        if (i != leader)
            stop_member(all, i);
    constexpr std::uint64_t changes = 60;
    for (std::uint64_t i = 1; i <= changes; ++i)
        propose(
            *all.members[leader]->proposer,
            {i, std::string(change_bytes, 'x'), now() + 200ms});
    observed& seen = all.members[leader]->seen;
    CHECK(wait_for(seen, 5s, [&] { return seen.answered == changes; }));
    CHECK(
        status_of(*all.members[leader]->control).log_bytes < 20 * change_bytes);
    stop_all(all);
}

TEST_CASE("a replayed history reaches the service as one change")
{
    constexpr std::uint64_t changes = 150;
    const temporary_folder folder;
    control_tests::control_node node(folder.path, free_address());
    node.run_until_leading();
    for (std::uint64_t i = 1; i <= changes; ++i)
        REQUIRE(node.replace(i, std::to_string(i)));
    const std::uint64_t applied = node.applied();
    node.restart_replica();
    observed none;
    REQUIRE(wait_for(none, 10s, [&] { return node.applied() > applied; }));
    CHECK(node.run_due_handlers() < changes / 5);
    CHECK(node.read_version() == changes);
}
