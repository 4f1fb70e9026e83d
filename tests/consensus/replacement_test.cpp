// Tests for replaced members and lost disks where every member votes: the
// voters that are left bear the next loss as soon as a successor has had its
// time to catch up, and no sound voter is excluded for that.
#include "consensus/virtual_network.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <algorithm>

using namespace virtual_network;

namespace
{

/// Time that a successor, or a member with a new disk, has to catch up before
/// the next loss.
constexpr duration catch_up_time = 4s;
/// Time from a loss to the start of the successor.
constexpr duration successor_delay = 1300ms;
/// Time without a loss after which the cluster must work again.
constexpr duration recovery_time = 12s;
/// Members that may be lost, with their disks, at the same time.
constexpr std::size_t max_lost = 1;

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

bool is_running(const network& net, const node_id& id)
{
    return std::any_of(
        net.nodes.begin(),
        net.nodes.end(),
        [&](const node& each)
        { return each.id == id && each.running && each.core.hard.admitted; });
}

/// The number of voters that may be lost now without losing the quorum.
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

/// Which member is lost next.
enum class target
{
    leader,
    follower,
    lowest_id,
    highest_id
};

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

std::vector<node_id>
ids_of(const network& net, const std::vector<std::size_t>& nodes)
{
    std::vector<node_id> ids;
    for (const std::size_t i : nodes)
        ids.push_back(net.nodes[i].id);
    return ids;
}

/// Three running members, without the leader if `without_leader` is set.
std::vector<node_id> seeds_now(const network& net, bool without_leader = false)
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

} // namespace

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

namespace
{

/// One loss or operation; the members catch up before the next one.
enum class loss
{
    replace,
    replace_at_once,
    replace_planned,
    lose_disk,
    restart_one,
    restart_all,
    cut_off,
    cut_in_halves,
    change_leader,
    last = change_leader
};

struct loss_event
{
    loss kind = loss::replace;
    target which = target::leader;
    int span_ms = 0;
};

std::ostream& operator<<(std::ostream& out, const loss_event& event)
{
    return out << "{" << static_cast<int>(event.kind) << ", "
               << static_cast<int>(event.which) << ", " << event.span_ms << "}";
}

rc::Gen<loss_event> any_loss()
{
    return rc::gen::build<loss_event>(
        rc::gen::set(
            &loss_event::kind,
            rc::gen::map(
                rc::gen::inRange(0, static_cast<int>(loss::last) + 1),
                [](int value) { return static_cast<loss>(value); })),
        rc::gen::set(
            &loss_event::which,
            rc::gen::map(
                rc::gen::inRange(0, static_cast<int>(target::highest_id) + 1),
                [](int value) { return static_cast<target>(value); })),
        rc::gen::set(&loss_event::span_ms, rc::gen::inRange(0, 5000)));
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

void apply_loss(network& net, const loss_event& event)
{
    const duration span = event.span_ms * 1ms;
    const std::size_t member = choose(net, event.which);
    switch (event.kind)
    {
    case loss::replace:
        remove_for_good(net, member);
        run(net, span);
        start_node(net, add_node(net, seeds_now(net)));
        return;
    case loss::replace_at_once:
        start_node(net, add_node(net, seeds_now(net)));
        remove_for_good(net, member);
        return;
    case loss::replace_planned:
        start_node(net, add_node(net, seeds_now(net)));
        run(net, span);
        step_node(net, member, prepare_to_leave{});
        run(net, 1s);
        remove_for_good(net, member);
        return;
    case loss::lose_disk:
        kill_node(net, member);
        run(net, span);
        replace_disk(net, member);
        return;
    case loss::restart_one:
        restart(net, member, span);
        return;
    case loss::restart_all:
        restart_all(net, span / 5);
        return;
    case loss::cut_off:
        net.partition[member] = 1;
        run(net, span);
        net.partition[member] = 0;
        return;
    case loss::cut_in_halves:
        for (std::size_t i = 0; i < net.nodes.size(); ++i)
            net.partition[i] = static_cast<int>(i % 2);
        run(net, span);
        net.partition.assign(net.nodes.size(), 0);
        return;
    case loss::change_leader:
        if (const auto leader = leader_of(net))
        {
            step_node(net, *leader, prepare_to_leave{});
            run(net, 500ms);
            restart(net, *leader, span / 5);
        }
        return;
    }
}

} // namespace

TEST_CASE("no order of losses within the bound uses up the quorum")
{
    const std::size_t count = GENERATE(3, 5, 9);
    CAPTURE(count);
    CHECK(rc::check(
        "losses",
        [count](std::uint64_t seed)
        {
            network net = start_members(count, seed);
            const auto events =
                *rc::gen::container<std::vector<loss_event>>(8, any_loss());
            for (const loss_event& event : events)
            {
                const std::size_t before = net.applied_commands;
                apply_loss(net, event);
                // A cluster that had to elect a leader has caught up only then.
                RC_ASSERT(run_until_leader(net, recovery_time));
                run(net, catch_up_time);
                RC_ASSERT(leader_of(net));
                RC_ASSERT(spare_voters(net) >= static_cast<int>(max_lost));
                step_node(net, *leader_of(net), propose{{"x"}});
                run(net, 500ms);
                RC_ASSERT(net.applied_commands > before);
                check_log_matching(net);
            }
        }));
}
