#include "consensus/virtual_network.hpp"

#include <catch2/catch.hpp>

using namespace virtual_network;

namespace
{

network start_network(std::size_t count, std::uint64_t seed = 7)
{
    network net = make_network(count, seed);
    for (std::size_t i = 0; i < count; ++i)
        start_node(net, i);
    return net;
}

std::size_t elect_leader(network& net)
{
    REQUIRE(run_until_leader(net));
    return *leader_of(net);
}

/// Proposes `count` commands to `leader`; false if it refuses them.
bool propose_to(network& net, std::size_t leader, std::size_t count)
{
    propose input;
    for (std::size_t i = 0; i < count; ++i)
        input.commands.push_back("command " + std::to_string(i));
    for (const action& out : step_node(net, leader, input))
        if (std::holds_alternative<refused>(out))
            return false;
    return true;
}

/// Runs until `done()` is true; returns the virtual time that it took, nothing
/// if `limit` passed.
template<class Done>
std::optional<duration> run_until(network& net, duration limit, Done done)
{
    const time_point start = net.now;
    while (net.now < start + limit)
    {
        if (done())
            return net.now - start;
        run(net, 5ms);
    }
    return std::nullopt;
}

std::size_t live_voters(const network& net, std::size_t leader)
{
    std::size_t live = 0;
    for (const node_id& id : members_of(net.nodes[leader].core).voters)
        for (const node& node : net.nodes)
            live += node.id == id && node.running ? 1 : 0;
    return live;
}

} // namespace

TEST_CASE("four new nodes form a cluster")
{
    network net = start_network(4);
    const std::size_t leader = elect_leader(net);
    const membership& members = members_of(net.nodes[leader].core);
    CHECK(members.voters.size() == 3);
    CHECK(members.learners.size() == 1);

    SECTION("applies proposed commands at every node")
    {
        REQUIRE(propose_to(net, leader, 10));
        run(net, 1s);
        for (const node& node : net.nodes)
            CHECK(node.applied == net.nodes[leader].applied);
        CHECK(net.applied_commands == 10);
    }
    SECTION("admits the learner, so that it can be promoted")
    {
        run(net, 1s);
        for (const node& node : net.nodes)
            CHECK(node.core.hard.admitted);
    }
    SECTION("a follower refuses a proposal")
    {
        CHECK_FALSE(propose_to(net, (leader + 1) % 4, 1));
    }
}

TEST_CASE("forms no cluster before every initial voter has answered")
{
    network net = make_network(3, 11);
    start_node(net, 0);
    start_node(net, 1);
    CHECK_FALSE(run_until_leader(net, 10s));
    start_node(net, 2);
    CHECK(run_until_leader(net, 10s));
}

TEST_CASE("acknowledges nothing before it is synced")
{
    network net = start_network(3);
    const std::size_t leader = elect_leader(net);
    const std::size_t before = net.applied_commands;
    for (node& node : net.nodes)
        node.disk.sync_hung = true;
    REQUIRE(propose_to(net, leader, 1));
    run(net, 500ms);
    CHECK(net.applied_commands == before);
}

TEST_CASE("replaces a lost voter by the learner")
{
    network net = start_network(4);
    const std::size_t leader = elect_leader(net);
    run(net, 1s);
    std::size_t victim = (leader + 1) % 4;
    while (!is_voter(members_of(net.nodes[leader].core), net.nodes[victim].id))
        victim = (victim + 1) % 4;
    kill_node(net, victim);

    const duration lost_after = consensus::timing{}.voter_lost_after;
    const auto took = run_until(
        net,
        lost_after + 5s,
        [&]
        {
            const replica& core = net.nodes[leader].core;
            return members_committed(core) && live_voters(net, leader) == 3 &&
                   members_of(core).voters.size() == 3;
        });
    REQUIRE(took);

    SECTION("survives a second loss right after the repair")
    {
        kill_node(net, leader);
        REQUIRE(run_until_leader(net, 10s));
        REQUIRE(propose_to(net, *leader_of(net), 1));
        run(net, 500ms);
        CHECK(net.applied_commands == 1);
    }
    SECTION("the lost voter returns as a learner and does not campaign")
    {
        const term_number term = net.nodes[leader].core.hard.term;
        start_node(net, victim);
        run(net, 10s);
        CHECK(net.nodes[leader].core.hard.term == term);
        CHECK(is_learner(
            members_of(net.nodes[victim].core), net.nodes[victim].id));
    }
}

TEST_CASE("a partitioned replica causes no disruption")
{
    network net = start_network(3);
    const std::size_t leader = elect_leader(net);

    SECTION("a returning follower does not raise the term")
    {
        const term_number term = net.nodes[leader].core.hard.term;
        net.partition[(leader + 1) % 3] = 1;
        run(net, 180s);
        net.partition.assign(3, 0);
        run(net, 10s);
        CHECK(net.nodes[leader].core.role == role::leader);
        CHECK(net.nodes[leader].core.hard.term == term);
    }
    SECTION("a partitioned leader stops by its own clock before another leads")
    {
        net.partition[leader] = 1;
        run(net, 1s);
        const node& old = net.nodes[leader];
        CHECK_FALSE(may_act_as_sole_leader(old.core, local_now(net, old)));
        REQUIRE(run_until_leader(net, 10s));
        CHECK(*leader_of(net) != leader);
        run(net, 180s);
        net.partition.assign(3, 0);
        run(net, 5s);
        CHECK(net.nodes[leader].core.role == role::follower);
    }
}

TEST_CASE("sends a snapshot in chunks to a follower far behind")
{
    network net = make_network(3, 5);
    net.snapshot_every = 20;
    net.limits.kept_entries = 5;
    net.limits.chunk_bytes = 4;
    for (std::size_t i = 0; i < 3; ++i)
        start_node(net, i);
    const std::size_t leader = elect_leader(net);
    const std::size_t behind = (leader + 1) % 3;
    kill_node(net, behind);
    for (int i = 0; i < 10; ++i)
    {
        REQUIRE(propose_to(net, leader, 10));
        run(net, 100ms);
    }
    REQUIRE(net.nodes[leader].core.log.base_index > 20);
    start_node(net, behind);
    run(net, 3s);
    CHECK(net.nodes[behind].applied == net.nodes[leader].applied);
    CHECK(net.nodes[behind].core.base->index > 20);
}

TEST_CASE("a follower that was cut off while large entries came needs no "
          "snapshot")
{
    constexpr std::size_t entry_bytes = std::size_t{150} * 1024;
    network net = make_network(3, 5);
    net.snapshot_every = 7;
    for (std::size_t i = 0; i < 3; ++i)
        start_node(net, i);
    const std::size_t leader = elect_leader(net);
    const std::size_t behind = (leader + 1) % 3;
    std::size_t snapshots_seen = 0;
    const auto change_for = [&](duration span)
    {
        for (duration passed{}; passed < span; passed += 5ms)
        {
            if (passed % 100ms == 0s)
                step_node(
                    net, leader, propose{{std::string(entry_bytes, 'x')}});
            run(net, 5ms);
            const auto& peers = net.nodes[leader].core.followers;
            if (peers.at(net.nodes[behind].id).sending_snapshot)
                ++snapshots_seen;
        }
    };
    change_for(2s);
    net.partition[behind] = 1;
    change_for(1500ms);
    net.partition.assign(3, 0);
    change_for(2s);
    run(net, 1s);
    CHECK(snapshots_seen == 0);
    CHECK(net.nodes[behind].applied == net.nodes[leader].applied);

    SECTION("and one that is lost does not fill the leader's memory")
    {
        net.partition[behind] = 1;
        change_for(10s);
        CHECK(net.nodes[leader].core.log.bytes < std::size_t{4} * 1024 * 1024);
    }
}

TEST_CASE("a voter that lost its disk is admitted again and catches up")
{
    network net = start_network(3);
    const std::size_t leader = elect_leader(net);
    REQUIRE(propose_to(net, leader, 5));
    run(net, 1s);
    const std::size_t victim = (leader + 1) % 3;
    replace_disk(net, victim);
    CHECK_FALSE(net.nodes[victim].core.hard.admitted);
    run(net, 5s);
    CHECK(net.nodes[victim].core.hard.admitted);
    CHECK(is_voter(members_of(net.nodes[leader].core), net.nodes[victim].id));
    CHECK(net.nodes[victim].applied == net.nodes[leader].applied);
}

TEST_CASE("serves a read by lease and fails it at a follower")
{
    network net = start_network(3);
    const std::size_t leader = elect_leader(net);
    step_node(net, leader, read_index{1});
    CHECK(net.nodes[leader].reads.size() == 1);
    const auto refused_read = step_node(net, (leader + 1) % 3, read_index{2});
    CHECK(std::holds_alternative<read_failed>(refused_read.front()));

    SECTION("a partitioned leader serves no read")
    {
        net.partition[leader] = 1;
        run(net, 1s);
        step_node(net, leader, read_index{3});
        run(net, 5s);
        CHECK(net.nodes[leader].reads.size() == 1);
    }
}

TEST_CASE("a leader whose disk hangs is replaced")
{
    network net = start_network(3);
    const std::size_t leader = elect_leader(net);
    net.nodes[leader].disk.sync_hung = true;
    REQUIRE(propose_to(net, leader, 1));
    run(net, 10s);
    REQUIRE(leader_of(net));
    CHECK(*leader_of(net) != leader);
}

TEST_CASE("a restarted voter still respects the lease of the leader")
{
    network net = start_network(3);
    const std::size_t leader = elect_leader(net);
    const std::size_t candidate = (leader + 1) % 3;
    const std::size_t voter = (leader + 2) % 3;
    set_link_down(net, leader, candidate, true);
    // The candidate campaigns repeatedly. The voter forgets at each restart
    // that it heard from the leader, but must still not vote within the lease.
    for (int i = 0; i < 40; ++i)
    {
        run(net, 100ms);
        kill_node(net, voter);
        start_node(net, voter);
    }
    run(net, 3s);
    CHECK(net.nodes[leader].core.role == role::leader);
}

TEST_CASE("replaces a voter whose instance is about to leave")
{
    network net = start_network(4);
    const std::size_t leader = elect_leader(net);
    run(net, 1s);
    const bool going_leads = GENERATE(true, false);
    std::size_t leaving_node = leader;
    if (!going_leads)
        for (std::size_t i = 0; i < 4; ++i)
            if (i != leader &&
                is_voter(members_of(net.nodes[leader].core), net.nodes[i].id))
                leaving_node = i;
    step_node(net, leaving_node, prepare_to_leave{});
    const auto took = run_until(
        net,
        5s,
        [&]
        {
            const auto now_leads = leader_of(net);
            return now_leads && *now_leads != leaving_node &&
                   members_committed(net.nodes[*now_leads].core) &&
                   is_learner(
                       members_of(net.nodes[*now_leads].core),
                       net.nodes[leaving_node].id);
        });
    REQUIRE(took);
    CHECK(members_of(net.nodes[*leader_of(net)].core).voters.size() == 3);
}

TEST_CASE("a leaving leader transfers leadership within the election timeout")
{
    network net = start_network(3);
    const std::size_t leader = elect_leader(net);
    run(net, 1s);
    REQUIRE(propose_to(net, leader, 3));
    step_node(net, leader, prepare_to_leave{});
    CHECK_FALSE(propose_to(net, leader, 1));
    const auto took = run_until(
        net,
        5s,
        [&]
        {
            const auto leads = leader_of(net);
            return leads && *leads != leader &&
                   net.nodes[*leads].core.commit >=
                       net.nodes[*leads].core.term_start;
        });
    REQUIRE(took);
    CHECK(*took < consensus::timing{}.election_min);
    run(net, 1s);
    CHECK(net.applied_commands == 3);
}
