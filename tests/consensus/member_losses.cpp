#include "consensus/member_losses.hpp"

#include <catch2/catch.hpp>

#include <algorithm>

namespace virtual_network
{

namespace
{

bool is_running(const network& net, const node_id& id)
{
    return std::any_of(
        net.nodes.begin(),
        net.nodes.end(),
        [&](const node& each)
        { return each.id == id && each.running && each.core.hard.admitted; });
}

std::vector<node_id>
ids_of(const network& net, const std::vector<std::size_t>& nodes)
{
    std::vector<node_id> ids;
    ids.reserve(nodes.size());
    for (const std::size_t i : nodes)
        ids.push_back(net.nodes[i].id);
    return ids;
}

} // namespace

network start_members(std::size_t count, std::uint64_t seed)
{
    network net = make_network(count, seed);
    net.limits.every_member_votes = true;
    net.limits.wanted_voters = 2 * max_lost + 1;
    std::vector<node_id> seeds;
    for (std::size_t i = 0; i < 3; ++i)
        seeds.push_back(net.nodes[i].id);
    for (node& each : net.nodes)
        each.configured = seeds;
    for (std::size_t i = 0; i < count; ++i)
        start_node(net, i);
    REQUIRE(run_until_leader(net));
    run(net, 10s);
    REQUIRE(members_of(net.nodes[*leader_of(net)].core).voters.size() == count);
    return net;
}

const membership& current_members(const network& net)
{
    return members_of(net.nodes[leader_of(net).value()].core);
}

int spare_voters(const network& net)
{
    const auto& voters = current_members(net).voters;
    const auto running = std::count_if(
        voters.begin(),
        voters.end(),
        [&](const node_id& id) { return is_running(net, id); });
    return static_cast<int>(running) -
           static_cast<int>(quorum_size(voters.size()));
}

std::vector<std::size_t> running_nodes(const network& net)
{
    std::vector<std::size_t> found;
    for (std::size_t i = 0; i < net.nodes.size(); ++i)
        if (net.nodes[i].running)
            found.push_back(i);
    return found;
}

std::size_t choose(const network& net, target which)
{
    const auto running = running_nodes(net);
    const auto leader = leader_of(net);
    switch (which)
    {
    case target::leader:
        return leader.value_or(running.front());
    case target::follower:
        return *std::find_if(
            running.begin(),
            running.end(),
            [&](std::size_t i) { return i != leader; });
    case target::lowest_id:
        return running.front();
    case target::highest_id:
        return running.back();
    }
    return running.front();
}

std::vector<node_id> seeds_now(const network& net, bool without_leader)
{
    auto running = running_nodes(net);
    if (without_leader)
        running.erase(
            std::remove(running.begin(), running.end(), leader_of(net).value()),
            running.end());
    running.resize(std::min<std::size_t>(running.size(), 3));
    return ids_of(net, running);
}

void remove_for_good(network& net, std::size_t index)
{
    kill_node(net, index);
    net.nodes[index].disk = {};
}

void restart(network& net, std::size_t index, duration down)
{
    kill_node(net, index);
    run(net, down);
    start_node(net, index);
}

void commit_something(network& net)
{
    const std::size_t before = net.applied_commands;
    const auto leader = leader_of(net);
    REQUIRE(leader);
    step_node(net, *leader, propose{{"x"}});
    run(net, 1s);
    CHECK(net.applied_commands > before);
}

void restart_all(network& net, duration down)
{
    const auto running = running_nodes(net);
    for (const std::size_t each : running)
        kill_node(net, each);
    run(net, down);
    for (const std::size_t each : running)
        start_node(net, each);
}

} // namespace virtual_network
