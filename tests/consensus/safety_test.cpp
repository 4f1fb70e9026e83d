// Property tests with random faults on the virtual network, which checks
// election safety, log matching, leader completeness, state-machine safety and
// lease exclusivity. RapidCheck draws the sequences of faults and shrinks those
// that break a property.
#include "consensus/virtual_network.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace virtual_network;

namespace
{

enum class fault
{
    propose,
    kill,
    start,
    freeze,
    thaw,
    cut,
    cut_link,
    heal,
    lossy,
    reliable,
    slow_disk,
    hang_disk,
    repair_disk,
    fill_disk,
    change_voter,
    leave,
    last = leave
};

/// A fault or operation at a node, and how long the network then runs.
struct fault_event
{
    fault kind = fault::propose;
    std::size_t target = 0;
    std::size_t other = 0;
    int pause_ms = 0;
};

std::ostream& operator<<(std::ostream& out, const fault_event& event)
{
    return out << "{" << static_cast<int>(event.kind) << ", " << event.target
               << ", " << event.other << ", " << event.pause_ms << "}";
}

rc::Gen<fault_event> any_event(std::size_t nodes)
{
    return rc::gen::build<fault_event>(
        rc::gen::set(
            &fault_event::kind,
            rc::gen::map(
                rc::gen::inRange(0, static_cast<int>(fault::last) + 1),
                [](int value) { return static_cast<fault>(value); })),
        rc::gen::set(
            &fault_event::target, rc::gen::inRange<std::size_t>(0, nodes)),
        rc::gen::set(
            &fault_event::other, rc::gen::inRange<std::size_t>(0, nodes)),
        rc::gen::set(
            &fault_event::pause_ms,
            rc::gen::oneOf(
                rc::gen::inRange(5, 60), rc::gen::inRange(60, 2500))));
}

/// Asks the leader to promote the target to a voter or to demote it.
void change_voter(network& net, std::size_t target)
{
    const auto leader = leader_of(net);
    if (!leader || net.nodes[*leader].frozen)
        return;
    const membership members = members_of(net.nodes[*leader].core);
    const node_id& id = net.nodes[target].id;
    membership changed = is_voter(members, id) ? with_learner(members, id)
                                               : with_voter(members, id);
    step_node(net, *leader, change_members{changed});
}

/// Proposes commands to the leader, or to the target if there is none. Does
/// nothing if the target does not run.
void propose_commands(network& net, std::size_t target)
{
    const node& node = net.nodes[target];
    const std::size_t to = leader_of(net).value_or(target);
    if (node.running && net.nodes[to].running && !net.nodes[to].frozen)
        step_node(net, to, propose{{"a", "b", "c"}});
}

/// Restarts a node; frees its disk if it was full.
void restart_node(network& net, std::size_t target)
{
    if (net.nodes[target].running)
        kill_node(net, target);
    net.nodes[target].disk.full = false;
    start_node(net, target);
}

void apply_event(network& net, const fault_event& event)
{
    node& node = net.nodes[event.target];
    switch (event.kind)
    {
    case fault::propose:
        return propose_commands(net, event.target);
    case fault::kill:
        return kill_node(net, event.target);
    case fault::start:
        return restart_node(net, event.target);
    case fault::freeze:
        node.frozen = true;
        return;
    case fault::thaw:
        node.frozen = false;
        return;
    case fault::cut:
        net.partition[event.target] = static_cast<int>(event.target % 2) + 1;
        return;
    case fault::cut_link:
        if (event.target != event.other)
            set_link_down(net, event.target, event.other, true);
        return;
    case fault::heal:
        net.partition.assign(net.nodes.size(), 0);
        net.cut_links.clear();
        return;
    case fault::lossy:
        net.drop = 0.2;
        net.duplicate = 0.2;
        net.delay_max = 400ms;
        return;
    case fault::reliable:
        net.drop = 0;
        net.duplicate = 0;
        net.delay_max = 5ms;
        return;
    case fault::slow_disk:
        node.disk.sync_time = 150ms;
        return;
    case fault::hang_disk:
        node.disk.sync_hung = true;
        return;
    case fault::repair_disk:
        node.disk.sync_hung = false;
        node.disk.sync_time = 2ms;
        return;
    case fault::fill_disk:
        node.disk.full = true;
        return;
    case fault::change_voter:
        return change_voter(net, event.target);
    case fault::leave:
        if (node.running && !node.frozen)
            step_node(net, event.target, prepare_to_leave{});
        return;
    }
}

network start_cluster(std::size_t count, std::uint64_t seed)
{
    network net = make_network(count, seed);
    net.snapshot_every = 10;
    net.limits.wanted_voters = count == 5 ? 5 : 3;
    net.limits.kept_entries = 3;
    net.limits.apply_entries = 1 + seed % 3;
    net.limits.chunk_bytes = 5;
    for (std::size_t i = 0; i < count; ++i)
        start_node(net, i);
    run_until_leader(net);
    return net;
}

/// Ends every fault and restarts all nodes; commits must then resume.
void clear_all_faults(network& net)
{
    apply_event(net, {fault::heal, 0, 0, 0});
    apply_event(net, {fault::reliable, 0, 0, 0});
    for (std::size_t i = 0; i < net.nodes.size(); ++i)
    {
        apply_event(net, {fault::repair_disk, i, 0, 0});
        restart_node(net, i);
    }
}

/// Number of events in a sequence; large enough that faults overlap.
constexpr std::size_t events_per_sequence = 40;
/// Number of network seeds with which each sequence is run.
constexpr std::uint64_t seeds_per_sequence = 5;

using event_sequence = std::vector<fault_event>;

void check_sequence(
    std::size_t nodes, std::uint64_t seed, const event_sequence& events)
{
    network net = start_cluster(nodes, seed);
    for (const fault_event& event : events)
    {
        apply_event(net, event);
        run(net, event.pause_ms * 1ms);
        check_log_matching(net);
    }
    clear_all_faults(net);
    RC_ASSERT(run_until_leader(net, 30s));
    const std::size_t before = net.applied_commands;
    propose_commands(net, *leader_of(net));
    run(net, 10s);
    RC_ASSERT(net.applied_commands > before);
    check_log_matching(net);
}

void check_sequences(std::size_t nodes, std::uint64_t seed)
{
    const auto events = *rc::gen::container<event_sequence>(
        events_per_sequence, any_event(nodes));
    for (std::uint64_t i = 0; i < seeds_per_sequence; ++i)
        check_sequence(nodes, seed + i, events);
}

} // namespace

TEST_CASE("random faults break no safety property, and commits resume after "
          "them")
{
    CHECK(rc::check(
        "three nodes", [](std::uint64_t seed) { check_sequences(3, seed); }));
    CHECK(rc::check(
        "four nodes", [](std::uint64_t seed) { check_sequences(4, seed); }));
    CHECK(rc::check(
        "five nodes", [](std::uint64_t seed) { check_sequences(5, seed); }));
}

TEST_CASE("a lost disk among other faults loses no committed entry")
{
    CHECK(rc::check(
        "four nodes",
        [](std::uint64_t seed, bool while_cut)
        {
            network net = start_cluster(4, seed);
            propose_commands(net, *leader_of(net));
            run(net, 1s);
            const std::size_t victim = net.random() % 4;
            if (while_cut)
                apply_event(net, {fault::cut, net.random() % 4, 0, 0});
            apply_event(net, {fault::lossy, 0, 0, 0});
            replace_disk(net, victim);
            run(net, 10s);
            clear_all_faults(net);
            RC_ASSERT(run_until_leader(net, 30s));
            check_log_matching(net);
            RC_ASSERT(net.nodes[*leader_of(net)].applied >= 4U);
        }));
}
