// Random faults over the virtual network, which checks election safety, log
// matching, leader completeness, state-machine safety and the lease at each
// step. RapidCheck draws the faults and shrinks them when a property breaks.
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
    mend_disk,
    fill_disk,
    change_voter,
    leave,
    last = leave
};

/// One thing that happens to a node, and how long time then goes on.
struct happening
{
    fault kind = fault::propose;
    std::size_t target = 0;
    std::size_t other = 0;
    int pause_ms = 0;
};

std::ostream& operator<<(std::ostream& out, const happening& one)
{
    return out << "{" << static_cast<int>(one.kind) << ", " << one.target
               << ", " << one.other << ", " << one.pause_ms << "}";
}

rc::Gen<happening> any_happening(std::size_t nodes)
{
    return rc::gen::build<happening>(
        rc::gen::set(
            &happening::kind,
            rc::gen::map(
                rc::gen::inRange(0, static_cast<int>(fault::last) + 1),
                [](int value) { return static_cast<fault>(value); })),
        rc::gen::set(
            &happening::target, rc::gen::inRange<std::size_t>(0, nodes)),
        rc::gen::set(
            &happening::other, rc::gen::inRange<std::size_t>(0, nodes)),
        rc::gen::set(
            &happening::pause_ms,
            rc::gen::oneOf(
                rc::gen::inRange(5, 60), rc::gen::inRange(60, 2500))));
}

/// A change of a random member, proposed to whoever leads.
void change_voter(network& net, std::size_t target)
{
    const auto leader = leader_of(net);
    if (!leader || net.nodes[*leader].frozen)
        return;
    const membership members = members_of(net.nodes[*leader].core);
    const node_id& id = net.nodes[target].id;
    membership changed = is_voter(members, id) ? with_learner(members, id)
                                               : with_voter(members, id);
    give(net, *leader, change_members{changed});
}

void propose_somewhere(network& net, std::size_t target)
{
    const node& node = net.nodes[target];
    const std::size_t to = leader_of(net).value_or(target);
    if (node.running && net.nodes[to].running && !net.nodes[to].frozen)
        give(net, to, propose{{"a", "b", "c"}});
}

void start_again(network& net, std::size_t target)
{
    if (net.nodes[target].running)
        kill_node(net, target);
    net.nodes[target].disk.full = false;
    start_node(net, target);
}

void happen(network& net, const happening& one)
{
    node& node = net.nodes[one.target];
    switch (one.kind)
    {
    case fault::propose:
        return propose_somewhere(net, one.target);
    case fault::kill:
        return kill_node(net, one.target);
    case fault::start:
        return start_again(net, one.target);
    case fault::freeze:
        node.frozen = true;
        return;
    case fault::thaw:
        node.frozen = false;
        return;
    case fault::cut:
        net.group[one.target] = static_cast<int>(one.target % 2) + 1;
        return;
    case fault::cut_link:
        if (one.target != one.other)
            cut_link(net, one.target, one.other, true);
        return;
    case fault::heal:
        net.group.assign(net.nodes.size(), 0);
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
        node.disk.hung = true;
        return;
    case fault::mend_disk:
        node.disk.hung = false;
        node.disk.sync_time = 2ms;
        return;
    case fault::fill_disk:
        node.disk.full = true;
        return;
    case fault::change_voter:
        return change_voter(net, one.target);
    case fault::leave:
        if (node.running && !node.frozen)
            give(net, one.target, leave{});
        return;
    }
}

network new_cluster(std::size_t count, std::uint64_t seed)
{
    network net = make_network(count, seed);
    net.snapshot_every = 10;
    net.limits.wanted_voters = count == 5 ? 5 : 3;
    net.limits.kept_entries = 3;
    net.limits.chunk_bytes = 5;
    for (std::size_t i = 0; i < count; ++i)
        start_node(net, i);
    run_until_leader(net);
    return net;
}

/// Ends every fault; the cluster must then commit again.
void mend_all(network& net)
{
    happen(net, {fault::heal, 0, 0, 0});
    happen(net, {fault::reliable, 0, 0, 0});
    for (std::size_t i = 0; i < net.nodes.size(); ++i)
    {
        happen(net, {fault::mend_disk, i, 0, 0});
        start_again(net, i);
    }
}

/// Stories of so many happenings, so that faults meet.
constexpr std::size_t story_length = 40;
/// Each story is told with so many seeds of the network.
constexpr std::uint64_t seeds_per_story = 5;

using story = std::vector<happening>;

void check_story(std::size_t nodes, std::uint64_t seed, const story& told)
{
    network net = new_cluster(nodes, seed);
    for (const happening& one : told)
    {
        happen(net, one);
        run(net, one.pause_ms * 1ms);
        check_log_matching(net);
    }
    mend_all(net);
    RC_ASSERT(run_until_leader(net, 30s));
    const std::size_t before = net.applied_commands;
    propose_somewhere(net, *leader_of(net));
    run(net, 10s);
    RC_ASSERT(net.applied_commands > before);
    check_log_matching(net);
}

void check_stories(std::size_t nodes, std::uint64_t seed)
{
    const auto told =
        *rc::gen::container<story>(story_length, any_happening(nodes));
    for (std::uint64_t i = 0; i < seeds_per_story; ++i)
        check_story(nodes, seed + i, told);
}

} // namespace

TEST_CASE("random faults break no safety property, and once they end commits "
          "go on")
{
    CHECK(rc::check(
        "three nodes", [](std::uint64_t seed) { check_stories(3, seed); }));
    CHECK(rc::check(
        "four nodes", [](std::uint64_t seed) { check_stories(4, seed); }));
    CHECK(rc::check(
        "five nodes", [](std::uint64_t seed) { check_stories(5, seed); }));
}

TEST_CASE("one lost disk among random faults loses nothing committed")
{
    CHECK(rc::check(
        "four nodes",
        [](std::uint64_t seed, bool while_cut)
        {
            network net = new_cluster(4, seed);
            propose_somewhere(net, *leader_of(net));
            run(net, 1s);
            const std::size_t victim = net.random() % 4;
            if (while_cut)
                happen(net, {fault::cut, net.random() % 4, 0, 0});
            happen(net, {fault::lossy, 0, 0, 0});
            lose_disk(net, victim);
            run(net, 10s);
            mend_all(net);
            RC_ASSERT(run_until_leader(net, 30s));
            check_log_matching(net);
            RC_ASSERT(net.nodes[*leader_of(net)].applied >= 4U);
        }));
}
