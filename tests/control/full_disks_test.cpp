// Guards against nodes that refuse changes for good after their disks were full
// one after the other: real threads and files, whose functions fail on demand.
#include "control/local_cluster.hpp"

#include <catch2/catch.hpp>

#include <array>
#include <atomic>
#include <cerrno>
#include <filesystem>
#include <random>
#include <thread>

using namespace local_cluster;

namespace
{

constexpr std::size_t node_count = 5;

/// What a full disk refuses besides the bytes that do not fit.
enum class full_disk
{
    has_room,
    /// Half of each write is stored.
    short_writes,
    /// No file can be created.
    no_new_files,
    /// Writes are accepted, and the sync fails.
    failing_syncs,
    /// Files cannot be renamed.
    no_renames
};

constexpr std::array all_faults{
    full_disk::short_writes,
    full_disk::no_new_files,
    full_disk::failing_syncs,
    full_disk::no_renames};

struct node_disk
{
    std::atomic<full_disk> state{full_disk::has_room};
    std::atomic<bool> failed{false};
};

consensus::file_functions files_on(node_disk& disk)
{
    consensus::file_functions files = consensus::system_files();
    files.open =
        [&disk, real = files.open](const std::string& path, bool create)
    {
        const bool is_full = disk.state == full_disk::no_new_files;
        return is_full && create && !std::filesystem::exists(path)
                   ? -ENOSPC
                   : real(path, create);
    };
    files.write =
        [&disk, real = files.write](int file, const std::string& bytes)
    {
        if (disk.state != full_disk::short_writes)
            return real(file, bytes);
        real(file, bytes.substr(0, bytes.size() / 2));
        return ENOSPC;
    };
    files.sync = [&disk, real = files.sync](int file)
    {
        return disk.state == full_disk::failing_syncs ? ENOSPC : real(file);
    };
    files.rename = [&disk, real = files.rename](
                       const std::string& from, const std::string& to)
    {
        return disk.state == full_disk::no_renames ? ENOSPC : real(from, to);
    };
    return files;
}

/// Opens a replica whose storage failed again, as long as that fails.
void reopen_if_failed(member& node, node_disk& disk)
{
    if (!disk.failed)
        return;
    stop(*node.control);
    disk.failed = false;
    if (start(*node.control))
        disk.failed = true;
}

} // namespace

TEST_CASE("disks that are full one after the other leave changes possible")
{
    const unsigned seed = GENERATE(1U, 2U, 3U);
    std::mt19937 random(seed);
    std::array<node_disk, node_count> disks;
    cluster all;
    // Snapshots and new segments meet the full disk too.
    all.snapshots.max_entries = 15;
    make_nodes(all, node_count);
    for (std::size_t i = 0; i < node_count; ++i)
        start_member(
            all,
            i,
            [&](peers_options&, control_options& options)
            {
                options.files = files_on(disks[i]);
                options.limits.every_member_votes = true;
                options.limits.wanted_voters = node_count;
                options.on_failure = [&disk = disks[i]](const failure&)
                {
                    disk.failed = true;
                };
            });
    wait_for_leader(all);

    std::uint64_t ticket = 0;
    const auto propose_for = [&](duration span)
    {
        const time_point end = now() + span;
        while (now() < end)
        {
            propose(
                *all.members[random() % node_count]->proposer,
                {++ticket, "c" + std::to_string(ticket), now() + 300ms});
            std::this_thread::sleep_for(10ms);
            for (std::size_t i = 0; i < node_count; ++i)
                reopen_if_failed(*all.members[i], disks[i]);
        }
    };
    for (std::size_t round = 0; round < 8; ++round)
    {
        node_disk& disk = disks[random() % node_count];
        disk.state = all_faults[random() % all_faults.size()];
        propose_for(std::chrono::milliseconds(100 + random() % 900));
        disk.state = full_disk::has_room;
        propose_for(std::chrono::milliseconds(50 + random() % 500));
    }
    propose_for(1500ms);

    for (std::size_t i = 0; i < node_count; ++i)
    {
        INFO("seed " << seed << ", node " << i);
        CHECK_FALSE(disks[i].failed);
        CHECK(
            propose_and_wait(*all.members[i], ++ticket, "last").outcome ==
            proposal_outcome::committed);
    }
    const std::uint64_t applied = status_of(*all.members[0]->control).commit;
    for (const auto& node : all.members)
        CHECK(wait_for(
            node->seen,
            5s,
            [&] { return status_of(*node->control).applied >= applied; }));
    stop_all(all);
}
