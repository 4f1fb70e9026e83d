// Forwards configuration revisions along the tree, aggregates the
// acknowledgements on the way back, and bypasses nodes that do not answer.
//
// A round sends the newest revision to every node. The root starts a round for
// each change, and periodically without one, so that nodes that were
// disconnected catch up. A node acknowledges a round at once (`round_receipt`)
// and later reports the result of its subtree (`round_summary`). A child that
// sends no receipt is counted as missing, and the round is sent to its children
// directly. Every node of the subtree is counted exactly once, as applied or as
// missing.
#pragma once

#include "dissemination/tree.hpp"

#include <bergamotusher/time.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <variant>
#include <vector>

namespace bergamotusher::dissemination
{

/// Time limit for a child's receipt.
inline constexpr duration receipt_timeout = 400ms;

/// Time limit for a node to fetch changes that it missed; after that it counts
/// as missing in the round.
inline constexpr duration catch_up_timeout = 800ms;

/// Identifies a round; ordered across leaders.
struct round_id
{
    /// The leader's term.
    std::uint64_t term = 0;
    /// Incremented with each round of the term.
    std::uint64_t number = 0;

    auto operator<=>(const round_id&) const = default;
};

/// Result of a round in one subtree.
struct tree_summary
{
    /// Nodes that have applied the round's revision, or a newer one.
    std::uint32_t applied = 0;
    /// Nodes that have not applied it in time, or did not answer.
    std::vector<node_id> missing;

    bool operator==(const tree_summary&) const = default;
};

// --- Messages -------------------------------------------------------------

/// Starts a round at the receiver and its subtree.
struct round_message
{
    round_id round;
    /// The message carries the changes from this revision to `revision`; the
    /// caller of this module adds their content.
    std::uint64_t base_revision = 0;
    std::uint64_t revision = 0;
    tree_node subtree;
};

/// Acknowledges that a round was received.
struct round_receipt
{
    round_id round;
};

/// Reports the result of the sender's subtree.
struct round_summary
{
    round_id round;
    tree_summary result;
};

/// Requests the changes after revision `have`.
struct changes_request
{
    std::uint64_t have = 0;
};

/// Carries the changes from `base_revision` to `revision`; the caller of this
/// module adds their content.
struct changes_message
{
    std::uint64_t base_revision = 0;
    std::uint64_t revision = 0;
};

using message = std::variant<
    round_message,
    round_receipt,
    round_summary,
    changes_request,
    changes_message>;

// --- Actions --------------------------------------------------------------

/// Send `value` to the node `to`.
struct send_message
{
    node_id to;
    message value;
};

/// Apply the revision at this node.
struct apply
{
    std::uint64_t revision = 0;
};

/// At the root: the round has ended.
struct round_ended
{
    round_id round;
    std::uint64_t revision = 0;
    tree_summary result;
};

using action = std::variant<send_message, apply, round_ended>;

// --- State ----------------------------------------------------------------

/// A child whose summary has not arrived yet.
struct pending_child
{
    tree_node subtree;
    /// The child has sent its receipt.
    bool received = false;
    /// The child is bypassed if its receipt or, after that, its summary has not
    /// arrived by this time.
    time_point deadline;
};

/// State of one node.
struct relay_state
{
    node_id self;
    /// The newest revision applied at this node; never decreases.
    std::uint64_t applied = 0;
    round_id round;
    std::uint64_t base_revision = 0;
    std::uint64_t revision = 0;
    /// Receiver of the summary; none at the root.
    std::optional<node_id> parent;
    std::map<node_id, pending_child> pending;
    tree_summary result;
    /// When this node counts itself as missing.
    time_point catch_up_deadline;
    bool self_counted = false;
    bool ended = true;
    /// Nodes that requested changes which this node does not have yet, with the
    /// revision that they have.
    std::map<node_id, std::uint64_t> waiting_requests;
};

/// Starts a round at the root, which has applied the revision itself. `update`
/// holds the whole tree, and its `base_revision` is the revision of the
/// previous round. Round ids must increase.
std::vector<action>
start_round(relay_state& state, const round_message& update, time_point now);

/// Handles a received message.
std::vector<action> on_message(
    relay_state& state,
    const node_id& from,
    const message& value,
    time_point now);

/// Checks the deadlines; to be called about every 50 ms while a round is open.
std::vector<action> on_tick(relay_state& state, time_point now);

/// Time limit for the summary of a subtree of this height.
duration summary_timeout(std::size_t height);

} // namespace bergamotusher::dissemination
