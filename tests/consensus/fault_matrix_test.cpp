// Every fault at every step of the work, at the leader and at a follower. The
// virtual network checks the safety properties all along; each cell also checks
// that commits go on in time and that nothing answered is lost. With
// BERGAMOTUSHER_FAULTS_OUT=PATH the table is written there.
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

struct step_name
{
    work_step step;
    const char* name;
};

constexpr std::array steps{
    step_name{work_step::propose, "propose"},
    step_name{work_step::append, "append"},
    step_name{work_step::sync, "sync"},
    step_name{work_step::commit, "commit"},
    step_name{work_step::apply, "apply"},
    step_name{work_step::answer, "answer"},
    step_name{work_step::snapshot, "snapshot"},
    step_name{work_step::voter_change, "voter change"}};

/// An accepted change must be in force everywhere within this.
constexpr duration commits_again_within = 5s;
constexpr duration fault_lasts = 6s;
constexpr duration proposals_every = 50ms;

struct cell
{
    work_step step = work_step::propose;
    fault kind = fault::kill;
    bool at_leader = true;
    std::size_t target = 0;
    bool fired = false;
    time_point fired_at;
    /// Newest commit before the fault.
    log_index committed = 0;
};

/// Only the leader proposes and answers.
bool only_leader_takes(work_step step)
{
    return step == work_step::propose || step == work_step::answer;
}

void bring(network& net, fault kind, std::size_t target)
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
        net.group[target] = 1;
        return;
    case fault::full_disk:
        node.disk.full = true;
        return;
    case fault::lost_disk:
        return lose_disk(net, target);
    case fault::slow_sync:
        node.disk.sync_time = 400ms;
        return;
    }
}

void mend(network& net, std::size_t target)
{
    node& node = net.nodes[target];
    const bool halted = node.running && node.core.role == role::halted;
    net.group[target] = 0;
    node.frozen = false;
    node.disk.full = false;
    node.disk.sync_time = 2ms;
    if (halted)
        kill_node(net, target);
    if (!node.running)
        start_node(net, target);
}

network prepared(std::uint64_t seed)
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

void set_trap(network& net, cell& one, std::size_t leader)
{
    one.target = one.at_leader ? leader : voting_follower(net, leader);
    const std::size_t watched =
        only_leader_takes(one.step) ? leader : one.target;
    net.on_step = [&one, watched](network& at, std::size_t node, work_step step)
    {
        if (one.fired || node != watched || step != one.step)
            return;
        one.fired = true;
        one.fired_at = at.now;
        one.committed = at.committed.empty() ? 0 : at.committed.rbegin()->first;
        bring(at, one.kind, one.target);
    };
}

void propose_one(network& net)
{
    const auto leader = leader_of(net);
    if (leader && !net.nodes[*leader].frozen)
        give(net, *leader, propose{{"change"}});
}

void change_voters(network& net)
{
    const auto leader = leader_of(net);
    if (!leader || net.nodes[*leader].frozen)
        return;
    const membership members = members_of(net.nodes[*leader].core);
    if (!members.learners.empty())
        give(
            net,
            *leader,
            change_members{with_voter(members, members.learners.front())});
}

/// Works until the fault has been mended for a while; the time until the first
/// commit of a command that was proposed after the fault.
std::optional<duration> work(network& net, cell& one)
{
    std::optional<duration> again;
    bool mended = false;
    const time_point end = net.now + fault_lasts + 10s;
    if (one.step == work_step::voter_change)
        change_voters(net);
    while (net.now < end)
    {
        propose_one(net);
        run(net, proposals_every);
        if (!one.fired)
            continue;
        // Several may have been on their way when the fault came.
        constexpr log_index on_the_way = 3;
        if (!again &&
            net.committed.rbegin()->first > one.committed + on_the_way)
            again = net.now - one.fired_at;
        if (!mended && net.now >= one.fired_at + fault_lasts)
        {
            mend(net, one.target);
            mended = true;
        }
    }
    return again;
}

/// Runs one cell; the time until commits went on.
duration run_cell(cell& one, std::uint64_t seed)
{
    network net = prepared(seed);
    set_trap(net, one, *leader_of(net));
    const auto again = work(net, one);
    REQUIRE(one.fired);
    REQUIRE(again);
    check_log_matching(net);
    REQUIRE(run_until_leader(net));
    run(net, 5s);
    for (const node& node : net.nodes)
        CHECK(node.applied == net.committed.rbegin()->first);
    return *again;
}

std::string cell_text(const cell& kind_of_cell, std::uint64_t first_seed)
{
    constexpr std::uint64_t seeds = 3;
    duration worst{};
    for (std::uint64_t seed = first_seed; seed < first_seed + seeds; ++seed)
    {
        cell one = kind_of_cell;
        worst = std::max(worst, run_cell(one, seed));
    }
    CHECK(worst <= commits_again_within);
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

TEST_CASE("every fault at every step loses nothing, and commits go on")
{
    using namespace fault_matrix;
    std::string table = "| at | fault |";
    std::string line = "|---|---|";
    for (const step_name& step : steps)
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
            for (const step_name& step : steps)
            {
                INFO(
                    (at_leader ? "leader, " : "follower, ")
                    << kind.name << ", " << step.name);
                cell one;
                one.step = step.step;
                one.kind = kind.value;
                one.at_leader = at_leader;
                table += " " + cell_text(one, 100) + " |";
            }
            table += "\n";
        }
    write_table(table);
}
