#include "consensus/snapshot_policy.hpp"

#include <algorithm>

namespace bergamotusher::consensus
{

bool is_snapshot_due(
    const snapshot_policy& policy, const snapshot_progress& progress)
{
    const std::size_t max_bytes = std::max(
        policy.min_log_bytes,
        policy.log_bytes_per_state_byte * progress.last_snapshot_bytes);
    const std::uint64_t max_entries = std::max<std::uint64_t>(
        policy.max_entries,
        progress.last_snapshot_bytes / policy.state_bytes_per_entry);
    return progress.entries >= max_entries || progress.bytes >= max_bytes;
}

} // namespace bergamotusher::consensus
