// Tests for clusters in which every member votes: the initial voters found one
// cluster, others join it and become voters, and a member that is absent for
// long no longer counts towards the number of voters.
#include "consensus/virtual_network.hpp"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace virtual_network;

namespace
{

network start_five_members(std::uint64_t seed = 11)
{
    network net = make_network(5, seed);
    net.limits.every_member_votes = true;
    net.limits.wanted_voters = 3;
    for (std::size_t i = 0; i < net.nodes.size(); ++i)
        start_node(net, i);
    return net;
}

std::size_t voter_count(const network& net)
{
    const auto leader = leader_of(net);
    return leader ? members_of(net.nodes[*leader].core).voters.size() : 0;
}

/// True if `id` is a voter in the leader's membership.
bool is_current_voter(const network& net, const node_id& id)
{
    const auto leader = leader_of(net);
    return leader && is_voter(members_of(net.nodes[*leader].core), id);
}

} // namespace

TEST_CASE("three nodes found a cluster and all five become voters")
{
    network net = start_five_members();
    REQUIRE(run_until_leader(net));
    run(net, 10s);
    REQUIRE(voter_count(net) == 5);
    const std::size_t absent = (*leader_of(net) + 1) % 5;

    SECTION("a member that is absent for a short time stays a voter")
    {
        kill_node(net, absent);
        run(net, 8s);
        CHECK(voter_count(net) == 5);
    }
    SECTION("a member that is absent for long is demoted and votes after its "
            "return")
    {
        kill_node(net, absent);
        run(net, 30s);
        CHECK(voter_count(net) == 4);
        start_node(net, absent);
        run(net, 10s);
        CHECK(is_current_voter(net, net.nodes[absent].id));
    }
    SECTION("a member that lost its disk is admitted again and votes")
    {
        replace_disk(net, absent);
        run(net, 15s);
        CHECK(is_current_voter(net, net.nodes[absent].id));
        CHECK(net.nodes[absent].core.hard.admitted);
    }
    SECTION("two members can be lost one after the other")
    {
        kill_node(net, absent);
        run(net, 30s);
        kill_node(
            net,
            (absent + 1) % 5 == *leader_of(net) ? (absent + 2) % 5
                                                : (absent + 1) % 5);
        run(net, 30s);
        CHECK(voter_count(net) == 3);
    }
}

TEST_CASE("a replica founds a cluster only if its options allow it")
{
    replica_options options;
    options.self = {"n0"};
    options.nodes = {{{"n0"}, {"a"}}, {{"n1"}, {"b"}}, {{"n2"}, {"c"}}};
    options.storage_id = 7;
    for (const bool may_found : {true, false})
    {
        options.may_bootstrap_cluster = may_found;
        time_point now{1s};
        replica joiner = make_replica(options, {}, now);
        for (const char* other : {"n1", "n2"})
            step(joiner, received{{other}, join_answer{7, true, {}}}, now);
        for (int i = 0; i < 100; ++i)
            step(joiner, tick{}, now += 100ms);
        CHECK(joiner.hard.admitted == may_found);
    }
}
