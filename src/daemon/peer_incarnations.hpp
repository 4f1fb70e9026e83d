// The incarnations heard of other nodes. Messages of an earlier process of a
// node are dropped; a process whose clock was set back before its start is told
// that its incarnation is too low.
#pragma once

#include <bergamotusher/ids.hpp>
#include <bergamotusher/time.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <string_view>

namespace bergamotusher
{

struct peer_incarnations
{
    std::map<node_id, std::uint64_t> newest;
    /// When each node was last told that its incarnation is too low.
    std::map<node_id, time_point> notified_at;
};

/// What an incarnation says of the process that a message comes from.
enum class sender_process
{
    known,
    /// The node has started again since its last message.
    restarted,
    /// A message of a newer process has arrived.
    earlier
};

/// Classifies the sender of a message, and records its incarnation.
sender_process record_incarnation(
    peer_incarnations& known, const node_id& from, std::uint64_t incarnation);

/// Whether to tell `to` now that a higher incarnation of it was heard; records
/// that it is told.
bool should_notify(peer_incarnations& known, const node_id& to, time_point now);

void forget_node(peer_incarnations& known, const node_id& node);

/// The incarnation that a process goes on with after the notice `body` of the
/// highest one that was heard; nothing if the notice cannot be read.
std::optional<std::uint64_t>
incarnation_after_notice(std::uint64_t own, std::string_view body);

} // namespace bergamotusher
