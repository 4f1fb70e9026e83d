// Tests for replaced members and lost disks: the voters that are left bear the
// next loss as soon as a successor has had its time to catch up.
#include "consensus/member_losses.hpp"

#include <catch2/catch.hpp>

using namespace virtual_network;

// Guards against members that were removed for good and stayed voters until no
// leader could be elected.
TEST_CASE("members that are replaced one after the other do not use up the "
          "quorum")
{
    const std::size_t count = GENERATE(3, 5, 9);
    const target which = GENERATE(
        target::leader,
        target::follower,
        target::lowest_id,
        target::highest_id);
    const std::uint64_t seed = GENERATE(1, 2, 3);
    CAPTURE(count, static_cast<int>(which), seed);
    network net = start_members(count, seed);
    const std::size_t replacements = count + 2;

    SECTION("with the successor after the loss")
    {
        for (std::size_t i = 0; i < replacements; ++i)
        {
            remove_for_good(net, choose(net, which));
            run(net, successor_delay);
            start_node(net, add_node(net, seeds_now(net)));
            run(net, catch_up_time);
            CAPTURE(i);
            REQUIRE(leader_of(net));
            CHECK(spare_voters(net) >= static_cast<int>(max_lost));
        }
    }
    SECTION("with the successor at the moment of the loss")
    {
        for (std::size_t i = 0; i < replacements; ++i)
        {
            const auto seeds = seeds_now(net);
            remove_for_good(net, choose(net, which));
            start_node(net, add_node(net, seeds));
            run(net, catch_up_time);
            CAPTURE(i);
            REQUIRE(leader_of(net));
            CHECK(spare_voters(net) >= static_cast<int>(max_lost));
        }
    }
    SECTION("with the successor before a planned stop")
    {
        for (std::size_t i = 0; i < replacements; ++i)
        {
            const std::size_t replaced = choose(net, which);
            start_node(net, add_node(net, seeds_now(net)));
            run(net, successor_delay);
            step_node(net, replaced, prepare_to_leave{});
            run(net, 1s);
            remove_for_good(net, replaced);
            run(net, catch_up_time);
            CAPTURE(i);
            REQUIRE(leader_of(net));
            CHECK(spare_voters(net) >= static_cast<int>(max_lost));
        }
    }
    SECTION("with a change of the leader in between")
    {
        for (std::size_t i = 0; i < replacements; ++i)
        {
            remove_for_good(net, choose(net, which));
            run(net, successor_delay);
            start_node(net, add_node(net, seeds_now(net)));
            run(net, 1500ms);
            if (const auto leader = leader_of(net))
                step_node(net, *leader, prepare_to_leave{});
            run(net, 500ms);
            for (const std::size_t j : running_nodes(net))
                if (net.nodes[j].core.leaving)
                    restart(net, j, 300ms);
            run(net, catch_up_time);
            CAPTURE(i);
            REQUIRE(leader_of(net));
            CHECK(spare_voters(net) >= static_cast<int>(max_lost));
        }
    }
    SECTION("with a restart of all members in between")
    {
        for (std::size_t i = 0; i < replacements; ++i)
        {
            remove_for_good(net, choose(net, which));
            run(net, successor_delay);
            start_node(net, add_node(net, seeds_now(net)));
            run(net, catch_up_time / 2);
            const auto running = running_nodes(net);
            for (const std::size_t j : running)
                kill_node(net, j);
            run(net, 600ms);
            for (const std::size_t j : running)
                start_node(net, j);
            run(net, catch_up_time);
            CAPTURE(i);
            REQUIRE(run_until_leader(net, recovery_time));
        }
    }
    commit_something(net);
    check_log_matching(net);
}

// Guards against a member with a new disk that was not admitted again while
// another voter was gone for good.
TEST_CASE("a member that lost its disk votes again behind one that is gone")
{
    const std::size_t count = GENERATE(3, 5, 9);
    const target which = GENERATE(target::lowest_id, target::highest_id);
    const bool has_successor = GENERATE(true, false);
    CAPTURE(count, static_cast<int>(which), has_successor);
    // Without a successor, three members cannot bear a second loss.
    if (!has_successor && count == 3)
        return;
    network net = start_members(count, 4);
    remove_for_good(net, choose(net, which));
    if (has_successor)
    {
        run(net, successor_delay);
        start_node(net, add_node(net, seeds_now(net)));
    }
    run(net, catch_up_time);
    for (int i = 0; i < 4; ++i)
    {
        const std::size_t lost =
            choose(net, i % 2 == 0 ? target::follower : target::highest_id);
        kill_node(net, lost);
        run(net, 1s);
        replace_disk(net, lost);
        run(net, catch_up_time);
        CAPTURE(i, lost);
        REQUIRE(leader_of(net));
        CHECK(net.nodes[lost].core.hard.admitted);
        CHECK(is_voter(current_members(net), net.nodes[lost].id));
    }
    commit_something(net);
    check_log_matching(net);
}

// The same where the settings fix the number of voters, which has no learners
// to promote.
TEST_CASE("a configured voter that lost its disk votes again behind one that "
          "is gone")
{
    network net = make_network(5, 8);
    net.limits.wanted_voters = 5;
    for (std::size_t i = 0; i < net.nodes.size(); ++i)
        start_node(net, i);
    REQUIRE(run_until_leader(net));
    run(net, 5s);
    const std::size_t gone =
        choose(net, GENERATE(target::lowest_id, target::highest_id));
    if (gone == leader_of(net))
        return;
    CAPTURE(gone);
    kill_node(net, gone);
    run(net, 5s);
    for (int i = 0; i < 4; ++i)
    {
        const std::size_t lost = choose(net, target::follower);
        replace_disk(net, lost);
        run(net, catch_up_time);
        CAPTURE(i, lost);
        REQUIRE(leader_of(net));
        CHECK(net.nodes[lost].core.hard.admitted);
        CHECK(is_voter(current_members(net), net.nodes[lost].id));
    }
    commit_something(net);
}

// Guards against successors that never joined because their settings did not
// name the leader.
TEST_CASE("a new member joins through any member that its settings name")
{
    const std::size_t count = GENERATE(3, 5, 9);
    const std::uint64_t seed = GENERATE(1, 2, 3);
    CAPTURE(count, seed);
    network net = start_members(count, seed);

    SECTION("that does not lead")
    {
        const std::size_t added = add_node(net, seeds_now(net, true));
        start_node(net, added);
        run(net, catch_up_time);
        CHECK(is_voter(current_members(net), net.nodes[added].id));
    }
    SECTION("that does not lead, while the leader changes")
    {
        for (std::size_t i = 0; i < count + 2; ++i)
        {
            const auto seeds = seeds_now(net, true);
            remove_for_good(net, choose(net, target::leader));
            run(net, successor_delay);
            const std::size_t added = add_node(net, seeds);
            start_node(net, added);
            run(net, catch_up_time);
            CAPTURE(i);
            REQUIRE(leader_of(net));
            CHECK(is_voter(current_members(net), net.nodes[added].id));
        }
    }
    SECTION("and is the only one of them that is left")
    {
        const std::size_t added =
            add_node(net, {{"n0"}, net.nodes[count - 1].id, {"n1"}});
        net.partition[0] = 1;
        net.partition[1] = 1;
        if (count == 3)
            net.partition[1] = 0;
        start_node(net, added);
        run(net, recovery_time);
        CHECK(is_voter(current_members(net), net.nodes[added].id));
    }
    SECTION("once the settings name one")
    {
        const std::size_t gone = choose(net, target::follower);
        remove_for_good(net, gone);
        const std::size_t added = add_node(net, {net.nodes[gone].id});
        start_node(net, added);
        run(net, catch_up_time);
        REQUIRE_FALSE(is_voter(current_members(net), net.nodes[added].id));
        std::vector<configured_node> nodes;
        for (const node_id& id : seeds_now(net))
            nodes.push_back({id, {}});
        step_node(net, added, configure_nodes{nodes});
        run(net, catch_up_time);
        CHECK(is_voter(current_members(net), net.nodes[added].id));
    }
}
