// Tests that the repair of a membership excludes no sound voter and founds no
// second cluster.
#include "consensus/member_losses.hpp"

#include <catch2/catch.hpp>

using namespace virtual_network;

// Guards against a repair that takes the vote of a member that works.
TEST_CASE("a sound voter is not excluded")
{
    const std::size_t count = GENERATE(3, 5, 9);
    CAPTURE(count);
    network net = start_members(count, 5);
    const std::size_t other = choose(net, target::follower);
    const node_id id = net.nodes[other].id;

    SECTION("for being cut off for some seconds")
    {
        net.partition[other] = 1;
        run(net, 10s);
        CHECK(is_voter(current_members(net), id));
        CHECK(current_members(net).voters.size() == count);
    }
    SECTION("for being cut off beside a lost disk")
    {
        if (count == 3)
            return;
        net.partition[other] = 1;
        run(net, 4s);
        replace_disk(net, choose(net, target::highest_id));
        run(net, 6s);
        CHECK(is_voter(current_members(net), id));
        CHECK(current_members(net).voters.size() == count);
    }
    SECTION("with all others of a minority")
    {
        for (std::size_t i = 0, cut = 0; cut < (count - 1) / 2; ++i)
            if (i != leader_of(net))
            {
                net.partition[i] = 1;
                ++cut;
            }
        run(net, 10s);
        CHECK(current_members(net).voters.size() == count);
    }
    SECTION("for being slow")
    {
        net.delay_max = 700ms;
        run(net, 20s);
        net.delay_max = 5ms;
        REQUIRE(run_until_leader(net, recovery_time));
        CHECK(current_members(net).voters.size() == count);
    }
    SECTION("for a slow disk")
    {
        net.nodes[other].disk.sync_time = 800ms;
        for (int i = 0; i < 20; ++i)
        {
            step_node(net, leader_of(net).value(), propose{{"x"}});
            run(net, 500ms);
        }
        CHECK(is_voter(current_members(net), id));
    }
    SECTION("for a planned restart")
    {
        step_node(net, other, prepare_to_leave{});
        run(net, 1s);
        restart(net, other, 500ms);
        run(net, catch_up_time);
        CHECK(is_voter(current_members(net), id));
        CHECK(current_members(net).voters.size() == count);
    }
    SECTION("while a member joins that is not a successor")
    {
        start_node(net, add_node(net, seeds_now(net)));
        run(net, catch_up_time);
        CHECK(current_members(net).voters.size() == count + 1);
    }
    SECTION("for good when it was cut off for long and removed")
    {
        // The settings of the others do not name it.
        const std::size_t last =
            choose(net, target::highest_id) == leader_of(net)
                ? choose(net, target::highest_id) - 1
                : choose(net, target::highest_id);
        net.partition[last] = 1;
        run(net, 40s);
        net.partition[last] = 0;
        run(net, catch_up_time);
        CHECK(is_voter(current_members(net), net.nodes[last].id));
    }
    SECTION("for good when a new member took its seat")
    {
        net.partition[other] = 1;
        run(net, 4s);
        start_node(net, add_node(net, seeds_now(net)));
        run(net, catch_up_time);
        net.partition[other] = 0;
        run(net, catch_up_time);
        CHECK(is_voter(current_members(net), id));
        CHECK(current_members(net).voters.size() == count + 1);
    }
    commit_something(net);
    check_log_matching(net);
}

// Guards against members without the others that form a cluster of their own.
TEST_CASE("members that are cut off from the quorum found no second cluster")
{
    const std::size_t count = GENERATE(3, 5, 9);
    const std::uint64_t seed = GENERATE(1, 2, 3);
    CAPTURE(count, seed);
    network net = start_members(count, seed);
    commit_something(net);
    // One member of the cluster, two that join, and one that lost its disk.
    const std::size_t other = choose(net, target::follower);
    const std::size_t wiped = choose(net, target::highest_id) == leader_of(net)
                                  ? choose(net, target::lowest_id)
                                  : choose(net, target::highest_id);
    net.partition[other] = 1;
    net.partition[wiped] = 1;
    replace_disk(net, wiped);
    for (int i = 0; i < 2; ++i)
    {
        const std::size_t added =
            add_node(net, {net.nodes[other].id, net.nodes[wiped].id});
        net.partition[added] = 1;
        start_node(net, added);
    }
    for (int i = 0; i < 100; ++i)
    {
        run(net, 200ms);
        for (std::size_t j = 0; j < net.nodes.size(); ++j)
            if (net.partition[j] == 1)
                CHECK(net.nodes[j].core.role != role::leader);
    }
    net.partition.assign(net.nodes.size(), 0);
    run(net, recovery_time);
    REQUIRE(leader_of(net));
    CHECK(current_members(net).voters.size() == count + 2);
    commit_something(net);
    check_log_matching(net);
}
