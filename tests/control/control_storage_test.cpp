#include "control/local_cluster.hpp"

#include <catch2/catch.hpp>

#include <atomic>
#include <cerrno>
#include <fstream>

using namespace local_cluster;

namespace
{

/// File functions whose sync fails with the errno value `error` while it is not
/// 0.
consensus::file_functions files_with_sync_error(std::atomic<int>& error)
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

void corrupt_segments(const std::string& folder)
{
    for (const auto& file : std::filesystem::directory_iterator(folder))
    {
        if (file.path().extension() != ".seg")
            continue;
        std::fstream segment(
            file.path(), std::ios::in | std::ios::out | std::ios::binary);
        constexpr int first_record_offset = 22;
        segment.seekp(first_record_offset);
        segment.put('\x7f');
    }
}

} // namespace

TEST_CASE("a node halts when its disk fails and recovers after a restart")
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
                options.files = files_with_sync_error(error);
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
    // Node 0 may be leader or follower; both must halt.
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
    // The answer can arrive before node 1 has applied the command itself, so
    // its number of applied commands is read only after that.
    REQUIRE(wait_for(
        all.members[1]->seen,
        5s,
        [&]
        {
            const auto& commands = all.members[1]->seen.applied;
            return !commands.empty() && commands.back() == "after";
        }));
    const std::vector<std::string> applied = [&]
    {
        const std::lock_guard lock(all.members[1]->seen.mutex);
        return all.members[1]->seen.applied;
    }();
    CHECK(wait_until_applied(broken, applied.size()));
    {
        const std::lock_guard lock(broken.seen.mutex);
        CHECK(broken.seen.applied == applied);
    }
    stop_all(all);
}

TEST_CASE("a node with a damaged data folder")
{
    cluster all;
    make_nodes(all, 4);
    for (std::size_t i = 0; i < 4; ++i)
        start_member(all, i);
    const std::size_t leader = wait_for_leader(all);
    const std::size_t damaged = (leader + 1) % 4;
    for (std::uint64_t i = 1; i <= 5; ++i)
        propose_and_wait(*all.members[leader], i, "c" + std::to_string(i));
    REQUIRE(wait_until_applied(*all.members[damaged], 5));
    stop_member(all, damaged);
    corrupt_segments(data_dir(all, damaged));

    SECTION("does not start if it may not rejoin")
    {
        CHECK_THROWS(start_member(
            all,
            damaged,
            [](peers_options&, control_options& options)
            { options.rejoin_if_damaged = false; }));
    }
    SECTION("rejoins and gets all committed entries")
    {
        start_member(all, damaged);
        CHECK(wait_until_applied(*all.members[damaged], 5));
        CHECK(wait_for(
            all.members[damaged]->seen,
            8s,
            [&]
            { return status_of(*all.members[damaged]->control).admitted; }));
    }
    stop_all(all);
}

TEST_CASE("a node does not start with another node's data folder")
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
