#include "control/local_cluster.hpp"

#include <catch2/catch.hpp>

using namespace local_cluster;

namespace
{

bool wait_until_applied(cluster& all, std::size_t index, std::size_t count)
{
    observed& seen = all.members[index]->seen;
    return wait_for(seen, 5s, [&] { return seen.applied.size() == count; });
}

bool wait_for_lease(cluster& all, std::size_t index)
{
    observed& seen = all.members[index]->seen;
    return wait_for(seen, 5s, [&] { return seen.configuration_until > now(); });
}

void start_all(cluster& all)
{
    for (std::size_t i = 0; i < all.nodes.size(); ++i)
        start_member(all, i);
}

} // namespace

TEST_CASE("four nodes commit proposals made at any of them")
{
    cluster all;
    make_nodes(all, 4);
    start_all(all);
    const std::size_t leader = wait_for_leader(all);

    for (std::size_t i = 0; i < 4; ++i)
    {
        const std::string command = "from " + std::to_string(i);
        const auto answer = propose_and_wait(*all.members[i], 1, command);
        CHECK(answer.outcome == proposal_outcome::committed);
        CHECK(answer.result == "done " + command);
        CHECK(answer.index > 0);
    }
    for (std::size_t i = 0; i < 4; ++i)
    {
        CHECK(wait_until_applied(all, i, 4));
        CHECK(wait_for_lease(all, i));
    }

    SECTION("the others continue without the leader, and it rejoins")
    {
        const fence old = *order_fence(*all.members[leader]->control, now());
        stop_member(all, leader);
        const std::size_t next = wait_for_leader(all);
        CHECK(is_older(old, *order_fence(*all.members[next]->control, now())));
        const std::size_t other = next == 0 || leader == 0 ? 3 : 0;
        const auto answer = propose_and_wait(*all.members[next], 2, "after");
        CHECK(answer.outcome == proposal_outcome::committed);
        if (all.members[other])
            CHECK(wait_until_applied(all, other, 5));
        start_member(all, leader);
        CHECK(wait_until_applied(all, leader, 5));
        CHECK(wait_for_lease(all, leader));
    }
    stop_all(all);
}

TEST_CASE("without a quorum no proposal is answered as committed")
{
    cluster all;
    make_nodes(all, 3);
    start_all(all);
    const std::size_t leader = wait_for_leader(all);
    const std::size_t survivor = (leader + 1) % 3;
    const std::size_t second_stopped = (leader + 2) % 3;
    REQUIRE(wait_for_lease(all, survivor));
    stop_member(all, leader);
    stop_member(all, second_stopped);
    observed& seen = all.members[survivor]->seen;

    SECTION("a proposal is answered once, and not as committed")
    {
        const auto answer =
            propose_and_wait(*all.members[survivor], 1, "lost", 800ms);
        CHECK(answer.outcome != proposal_outcome::committed);
        CHECK(seen.answered == 1);
    }
    SECTION("the configuration lease expires")
    {
        CHECK(wait_for(
            seen, 5s, [&] { return seen.configuration_until < now(); }));
    }
    SECTION("a proposal that found no leader is answered as not committed")
    {
        REQUIRE(wait_for(
            seen,
            5s,
            [&] {
                return status_of(*all.members[survivor]->control)
                    .leader.empty();
            }));
        const auto answer =
            propose_and_wait(*all.members[survivor], 2, "held", 100ms);
        CHECK(answer.outcome == proposal_outcome::not_committed);
    }
    stop_all(all);
}

TEST_CASE("a node that was stopped catches up from a snapshot")
{
    cluster all;
    all.snapshots.max_entries = 50;
    make_nodes(all, 3);
    start_all(all);
    const std::size_t leader = wait_for_leader(all);
    const std::size_t away = (leader + 1) % 3;
    stop_member(all, away);
    for (std::uint64_t i = 1; i <= 600; ++i)
        propose(
            *all.members[leader]->proposer,
            {i, "c" + std::to_string(i), now() + 10s});
    REQUIRE(wait_until_applied(all, leader, 600));
    // The leader must have a snapshot that it can send.
    REQUIRE(wait_for(
        all.members[leader]->seen,
        5s,
        [&]
        {
            return status_of(*all.members[leader]->control).snapshot_index >=
                   600 - all.snapshots.max_entries;
        }));
    start_member(all, away);
    CHECK(wait_until_applied(all, away, 600));
    // The restored state is visible shortly before the counter in the status.
    const auto installed = [&]
    {
        return status_of(*all.members[away]->control).snapshots_installed;
    };
    wait_for(all.members[away]->seen, 5s, [&] { return installed() > 0; });
    CHECK(installed() == 1);
    stop_all(all);
}

TEST_CASE("a replica is ready in under a second after 1,000 changes")
{
    cluster all;
    all.snapshots.max_entries = 1'000'000;
    make_nodes(all, 3);
    start_all(all);
    const std::size_t leader = wait_for_leader(all);
    for (std::uint64_t i = 1; i <= 1000; ++i)
        propose(
            *all.members[leader]->proposer,
            {i, "c" + std::to_string(i), now() + 10s});
    const std::size_t again = (leader + 1) % 3;
    REQUIRE(wait_until_applied(all, again, 1000));
    stop_member(all, again);
    const time_point began = now();
    start_member(all, again);
    REQUIRE(wait_until_applied(all, again, 1000));
    CHECK(now() - began < 1s);
    stop_all(all);
}

TEST_CASE("a leader that leaves under load still answers every proposal")
{
    cluster all;
    make_nodes(all, 4);
    start_all(all);
    const std::size_t leader = wait_for_leader(all);
    const std::size_t other = (leader + 1) % 4;
    constexpr std::uint64_t proposals = 400;
    for (std::uint64_t i = 1; i <= proposals; ++i)
    {
        propose(
            *all.members[i % 2 == 0 ? leader : other]->proposer,
            {i, "c" + std::to_string(i), now() + 8s});
        if (i == proposals / 2)
            leave(*all.members[leader]->control);
    }
    std::size_t committed = 0;
    for (const std::size_t node : {leader, other})
    {
        observed& seen = all.members[node]->seen;
        REQUIRE(
            wait_for(seen, 9s, [&] { return seen.answered == proposals / 2; }));
        const std::lock_guard lock(seen.mutex);
        for (const auto& [ticket, answer] : seen.answers)
            committed += answer.outcome == proposal_outcome::committed ? 1 : 0;
    }
    CHECK(committed == proposals);
    CHECK(wait_for(
        all.members[leader]->seen,
        5s,
        [&] { return has_left(*all.members[leader]->control); }));
    stop_all(all);
}
