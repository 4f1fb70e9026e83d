#include "control/local_cluster.hpp"

#include <catch2/catch.hpp>

#include <atomic>
#include <cerrno>
#include <fstream>

using namespace local_cluster;

namespace
{

/// Lets each sync of one node fail while `error` is not 0.
consensus::file_functions files_with(std::atomic<int>& error)
{
    consensus::file_functions files = consensus::system_files();
    files.sync = [&error, real = files.sync](int file)
    {
        return error != 0 ? error.load() : real(file);
    };
    return files;
}

bool wait_until_applied(member& at, std::size_t count)
{
    return wait_for(
        at.seen, 8s, [&] { return at.seen.applied.size() == count; });
}

void damage_a_segment(const std::string& folder)
{
    for (const auto& file : std::filesystem::directory_iterator(folder))
    {
        if (file.path().extension() != ".seg")
            continue;
        std::fstream segment(
            file.path(), std::ios::in | std::ios::out | std::ios::binary);
        constexpr int in_first_record = 22;
        segment.seekp(in_first_record);
        segment.put('\x7f');
    }
}

} // namespace

TEST_CASE("a node whose disk fails halts, and goes on when started again")
{
    std::atomic<int> error{0};
    std::atomic<int> failures{0};
    cluster all;
    make_nodes(all, 3);
    for (std::size_t i = 0; i < 3; ++i)
        start_member(
            all,
            i,
            [&](peers_options&, control_options& options)
            {
                if (i != 0)
                    return;
                options.files = files_with(error);
                options.on_failure = [&](const failure& failed)
                {
                    CHECK(failed.kind == error_kind::storage_full);
                    ++failures;
                };
            });
    wait_for_leader(all);
    REQUIRE(
        propose_and_wait(*all.members[1], 1, "before").outcome ==
        proposal_outcome::committed);
    error = ENOSPC;
    member& broken = *all.members[0];
    // Node 0 need not lead: then it fails as a follower.
    propose(*broken.proposer, {2, "during", now() + 2s});
    REQUIRE(wait_for(broken.seen, 8s, [&] { return failures > 0; }));
    CHECK(status_of(*broken.control).role == consensus::role::halted);
    CHECK(status_of(*broken.control).failed->kind == error_kind::storage_full);
    CHECK_FALSE(order_fence(*broken.control, now()));

    wait_for_leader(all);
    REQUIRE(
        propose_and_wait(*all.members[1], 3, "meanwhile").outcome ==
        proposal_outcome::committed);
    stop(*broken.control);
    CHECK(start(*broken.control));
    error = 0;
    REQUIRE_FALSE(start(*broken.control));
    REQUIRE(
        propose_and_wait(*all.members[1], 4, "after").outcome ==
        proposal_outcome::committed);
    const std::size_t applied = [&]
    {
        const std::lock_guard lock(all.members[1]->seen.mutex);
        return all.members[1]->seen.applied.size();
    }();
    CHECK(wait_until_applied(broken, applied));
    stop_all(all);
}

TEST_CASE("a damaged folder is set aside and the node rejoins")
{
    cluster all;
    make_nodes(all, 4);
    for (std::size_t i = 0; i < 4; ++i)
        start_member(all, i);
    const std::size_t leader = wait_for_leader(all);
    const std::size_t victim = (leader + 1) % 4;
    for (std::uint64_t i = 1; i <= 5; ++i)
        propose_and_wait(*all.members[leader], i, "c" + std::to_string(i));
    REQUIRE(wait_until_applied(*all.members[victim], 5));
    stop_member(all, victim);
    damage_a_segment(data_dir(all, victim));

    SECTION("unless an operator wants to look at it first")
    {
        CHECK_THROWS(start_member(
            all,
            victim,
            [](peers_options&, control_options& options)
            { options.rejoin_if_damaged = false; }));
    }
    SECTION("with all that was committed")
    {
        start_member(all, victim);
        CHECK(wait_until_applied(*all.members[victim], 5));
        CHECK(wait_for(
            all.members[victim]->seen,
            8s,
            [&] { return status_of(*all.members[victim]->control).admitted; }));
    }
    stop_all(all);
}

TEST_CASE("a node does not start on another node's folder")
{
    cluster all;
    make_nodes(all, 3);
    for (std::size_t i = 0; i < 3; ++i)
        start_member(all, i);
    wait_for_leader(all);
    stop_all(all);
    CHECK_THROWS(start_member(
        all,
        0,
        [&](peers_options&, control_options& options)
        { options.data_dir = data_dir(all, 1); }));
}
