// Where every member is to vote: the first voters found one cluster, others
// join and vote, and who is away for long stops counting.
#include "consensus/virtual_network.hpp"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace virtual_network;

namespace
{

network five_members(std::uint64_t seed = 11)
{
    network net = make_network(5, seed);
    net.limits.every_member_votes = true;
    net.limits.wanted_voters = 3;
    for (std::size_t i = 0; i < net.nodes.size(); ++i)
        start_node(net, i);
    return net;
}

std::size_t voters(const network& net)
{
    const auto leader = leader_of(net);
    return leader ? members_of(net.nodes[*leader].core).voters.size() : 0;
}

bool votes(const network& net, const node_id& id)
{
    const auto leader = leader_of(net);
    return leader && is_voter(members_of(net.nodes[*leader].core), id);
}

} // namespace

TEST_CASE("three found a cluster, and all five come to vote")
{
    network net = five_members();
    REQUIRE(run_until_leader(net));
    run(net, 10s);
    REQUIRE(voters(net) == 5);
    const std::size_t away = (*leader_of(net) + 1) % 5;

    SECTION("one that is away shortly keeps its vote")
    {
        kill_node(net, away);
        run(net, 8s);
        CHECK(voters(net) == 5);
    }
    SECTION("one that is away for long does not count, and votes again later")
    {
        kill_node(net, away);
        run(net, 30s);
        CHECK(voters(net) == 4);
        start_node(net, away);
        run(net, 10s);
        CHECK(votes(net, net.nodes[away].id));
    }
    SECTION("one that lost its disk votes again once it holds everything")
    {
        lose_disk(net, away);
        run(net, 15s);
        CHECK(votes(net, net.nodes[away].id));
        CHECK(net.nodes[away].core.hard.admitted);
    }
    SECTION("two in a row can be lost and the rest goes on")
    {
        kill_node(net, away);
        run(net, 30s);
        kill_node(
            net,
            (away + 1) % 5 == *leader_of(net) ? (away + 2) % 5
                                              : (away + 1) % 5);
        run(net, 30s);
        CHECK(voters(net) == 3);
    }
}

TEST_CASE("a replica that joins a cluster never founds one")
{
    replica_options options;
    options.self = {"n0"};
    options.nodes = {{{"n0"}, {"a"}}, {{"n1"}, {"b"}}, {{"n2"}, {"c"}}};
    options.storage_id = 7;
    for (const bool may_found : {true, false})
    {
        options.may_found = may_found;
        time_point now{1s};
        replica one = make_replica(options, {}, now);
        for (const char* other : {"n1", "n2"})
            step(one, received{{other}, join_answer{7, true}}, now);
        for (int i = 0; i < 100; ++i)
            step(one, tick{}, now += 100ms);
        CHECK(one.hard.admitted == may_found);
    }
}
