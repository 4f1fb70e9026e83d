// Decides when a replica takes a snapshot of its state machine. What was
// applied since is replayed at a start and kept on disk and in memory.
#pragma once

#include <cstddef>
#include <cstdint>

namespace bergamotusher::consensus
{

/// A snapshot is due by the bytes of the log, so that a start takes as long as
/// the state is large, however often and in whatever sizes it was changed.
struct snapshot_policy
{
    /// Least bytes of the log between two snapshots.
    std::size_t min_log_bytes = std::size_t{1024} * 1024;
    /// Bytes of the log for each byte of the last snapshot, if that is more:
    /// writing snapshots adds at most this fraction of the log's own writes.
    std::size_t log_bytes_per_state_byte = 4;
    /// Entries between two snapshots, however small they are; of a large state
    /// one for each of `state_bytes_per_entry`, if that is more.
    std::uint64_t max_entries = 1000;
    std::size_t state_bytes_per_entry = 1024;
};

/// What was applied since the last snapshot was taken, restored or read.
struct snapshot_progress
{
    std::uint64_t entries = 0;
    std::size_t bytes = 0;
    /// Size of the last snapshot; 0 if there is none.
    std::size_t last_snapshot_bytes = 0;
};

bool is_snapshot_due(
    const snapshot_policy& policy, const snapshot_progress& progress);

} // namespace bergamotusher::consensus
