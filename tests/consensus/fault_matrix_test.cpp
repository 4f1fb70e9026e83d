// Injects each kind of fault at each step of processing a command, at the
// leader and at a follower. The virtual network checks the safety properties at
// every step; each cell of the matrix also checks that commits resume in time
// and that no acknowledged command is lost. With BERGAMOTUSHER_FAULTS_OUT=PATH
// the table is written there.
#include "consensus/virtual_network.hpp"

#include <bergamotusher/enum_names.hpp>

#include <catch2/catch.hpp>

#include <cstdlib>
#include <fstream>
#include <iomanip>
#include <sstream>

using namespace virtual_network;

namespace fault_matrix
{

enum class fault
{
    kill,
    freeze,
    cut,
    full_disk,
    lost_disk,
    slow_sync
};

constexpr auto enum_names(fault)
{
    using row = enum_name<fault>;
    return std::array{
        row{fault::kill, "kill"},
        row{fault::freeze, "freeze"},
        row{fault::cut, "cut"},
        row{fault::full_disk, "full disk"},
        row{fault::lost_disk, "lost disk"},
        row{fault::slow_sync, "slow sync"}};
}

struct named_step
{
    work_step step;
    const char* name;
};

constexpr std::array steps{
    named_step{work_step::propose, "propose"},
    named_step{work_step::append, "append"},
    named_step{work_step::sync, "sync"},
    named_step{work_step::commit, "commit"},
    named_step{work_step::apply, "apply"},
    named_step{work_step::answer, "answer"},
    named_step{work_step::snapshot, "snapshot"},
    named_step{work_step::voter_change, "voter change"}};

/// Longest time from the injection of a fault until commits resume.
constexpr duration max_commit_gap = 5s;
constexpr duration fault_duration = 6s;
constexpr duration proposal_interval = 50ms;

/// One cell of the matrix, and the state of its run.
struct matrix_cell
{
    work_step step = work_step::propose;
    fault kind = fault::kill;
    bool at_leader = true;
    std::size_t target = 0;
    bool injected = false;
    time_point injected_at;
    /// Newest committed index before the fault.
    log_index committed_before = 0;
};

/// True for steps that only the leader performs: it proposes and answers.
bool only_leader_performs(work_step step)
{
    return step == work_step::propose || step == work_step::answer;
}

void inject_fault(network& net, fault kind, std::size_t target)
{
    node& node = net.nodes[target];
    switch (kind)
    {
    case fault::kill:
        return kill_node(net, target);
    case fault::freeze:
        node.frozen = true;
        return;
    case fault::cut:
        net.partition[target] = 1;
        return;
    case fault::full_disk:
        node.disk.full = true;
        return;
    case fault::lost_disk:
        return replace_disk(net, target);
    case fault::slow_sync:
        node.disk.sync_time = 400ms;
        return;
    }
}

/// Ends the fault at `target` and restarts the node if it is down or halted.
void clear_fault(network& net, std::size_t target)
{
    node& node = net.nodes[target];
    const bool halted = node.running && node.core.role == role::halted;
    net.partition[target] = 0;
    node.frozen = false;
    node.disk.full = false;
    node.disk.sync_time = 2ms;
    if (halted)
        kill_node(net, target);
    if (!node.running)
        start_node(net, target);
}

/// A network of four nodes with a leader, frequent snapshots and a short log.
network started_network(std::uint64_t seed)
{
    network net = make_network(4, seed);
    net.snapshot_every = 10;
    net.limits.kept_entries = 4;
    for (std::size_t i = 0; i < 4; ++i)
        start_node(net, i);
    REQUIRE(run_until_leader(net));
    run(net, 1s);
    return net;
}

std::size_t voting_follower(const network& net, std::size_t leader)
{
    const membership& members = members_of(net.nodes[leader].core);
    for (std::size_t i = 0; i < net.nodes.size(); ++i)
        if (i != leader && is_voter(members, net.nodes[i].id))
            return i;
    return leader;
}

/// Injects the fault when the watched node reaches the step for the first time.
void arm_fault(network& net, matrix_cell& cell, std::size_t leader)
{
    cell.target = cell.at_leader ? leader : voting_follower(net, leader);
    const std::size_t watched =
        only_leader_performs(cell.step) ? leader : cell.target;
    net.on_step =
        [&cell, watched](network& current, std::size_t node, work_step step)
    {
        if (cell.injected || node != watched || step != cell.step)
            return;
        cell.injected = true;
        cell.injected_at = current.now;
        cell.committed_before = current.committed_terms.empty()
                                    ? 0
                                    : current.committed_terms.rbegin()->first;
        inject_fault(current, cell.kind, cell.target);
    };
}

void propose_command(network& net)
{
    const auto leader = leader_of(net);
    if (leader && !net.nodes[*leader].frozen)
        step_node(net, *leader, propose{{"change"}});
}

void promote_learner(network& net)
{
    const auto leader = leader_of(net);
    if (!leader || net.nodes[*leader].frozen)
        return;
    const membership members = members_of(net.nodes[*leader].core);
    if (!members.learners.empty())
        step_node(
            net,
            *leader,
            change_members{with_voter(members, members.learners.front())});
}

/// Proposes commands for a fixed time, during which the fault is injected and,
/// after `fault_duration`, cleared. Returns the time from the fault to the
/// first commit of a command that was proposed after it; nothing if there was
/// none.
std::optional<duration> run_workload(network& net, matrix_cell& cell)
{
    std::optional<duration> commit_gap;
    bool cleared = false;
    const time_point end = net.now + fault_duration + 10s;
    if (cell.step == work_step::voter_change)
        promote_learner(net);
    while (net.now < end)
    {
        propose_command(net);
        run(net, proposal_interval);
        if (!cell.injected)
            continue;
        // Commands that were in flight at the fault may still be committed.
        constexpr log_index max_in_flight = 3;
        if (!commit_gap && net.committed_terms.rbegin()->first >
                               cell.committed_before + max_in_flight)
            commit_gap = net.now - cell.injected_at;
        if (!cleared && net.now >= cell.injected_at + fault_duration)
        {
            clear_fault(net, cell.target);
            cleared = true;
        }
    }
    return commit_gap;
}

/// Runs a cell with one seed; returns the time until commits resumed.
duration run_cell(matrix_cell& cell, std::uint64_t seed)
{
    network net = started_network(seed);
    arm_fault(net, cell, *leader_of(net));
    const auto commit_gap = run_workload(net, cell);
    REQUIRE(cell.injected);
    REQUIRE(commit_gap);
    check_log_matching(net);
    REQUIRE(run_until_leader(net));
    run(net, 5s);
    for (const node& node : net.nodes)
        CHECK(node.applied == net.committed_terms.rbegin()->first);
    return *commit_gap;
}

/// Runs a cell with three seeds; returns the longest time as text.
std::string
worst_gap_text(const matrix_cell& prototype, std::uint64_t first_seed)
{
    constexpr std::uint64_t seeds = 3;
    duration worst{};
    for (std::uint64_t seed = first_seed; seed < first_seed + seeds; ++seed)
    {
        matrix_cell cell = prototype;
        worst = std::max(worst, run_cell(cell, seed));
    }
    CHECK(worst <= max_commit_gap);
    std::ostringstream text;
    text << std::fixed << std::setprecision(1) << to_seconds(worst) << " s";
    return text.str();
}

void write_table(const std::string& table)
{
    const char* path = std::getenv("BERGAMOTUSHER_FAULTS_OUT");
    if (path == nullptr)
        return;
    std::ofstream(path)
        << "Each cell held its safety properties; it gives the longest time "
           "until\ncommits went on, in virtual time over three seeds.\n\n"
        << table;
}

} // namespace fault_matrix

TEST_CASE("every fault at every step loses no command, and commits resume")
{
    using namespace fault_matrix;
    std::string table = "| at | fault |";
    std::string line = "|---|---|";
    for (const named_step& step : steps)
    {
        table += std::string(" ") + step.name + " |";
        line += "---|";
    }
    table += "\n" + line + "\n";
    for (const bool at_leader : {true, false})
        for (const auto& kind : enum_names(fault{}))
        {
            table += at_leader ? "| leader | " : "| follower | ";
            table += std::string(kind.name) + " |";
            for (const named_step& step : steps)
            {
                INFO(
                    (at_leader ? "leader, " : "follower, ")
                    << kind.name << ", " << step.name);
                matrix_cell cell;
                cell.step = step.step;
                cell.kind = kind.value;
                cell.at_leader = at_leader;
                table += " " + worst_gap_text(cell, 100) + " |";
            }
            table += "\n";
        }
    write_table(table);
}
