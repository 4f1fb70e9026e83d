// How one node passes news on along the tree, sums up acknowledgements on
// the way back, and goes round nodes that are lost.
//
// A round carries the newest revision to every node. The root starts one with
// each change, and from time to time without one, so that nodes that were cut
// off catch up. A node tells at once that it has the news (`receipt`), and
// later what became of its part of the tree (`summary`). A child that gives
// no receipt is counted as missing, and its children are sent to directly.
// Every node below the sender ends up in exactly one of the summary's two
// parts.
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

/// How long a child may take to give its receipt.
inline constexpr duration receipt_timeout = 400ms;

/// How long a node may take to fetch changes that it missed before it counts
/// as missing in the round.
inline constexpr duration catch_up_timeout = 800ms;

/// Orders rounds over all leaders.
struct round_id
{
    /// The leader's term.
    std::uint64_t term = 0;
    /// Grows with each round of the term.
    std::uint64_t number = 0;

    auto operator<=>(const round_id&) const = default;
};

/// What became of one part of the tree.
struct tree_summary
{
    /// Nodes that have applied the round's revision, or a newer one.
    std::uint32_t applied = 0;
    /// Those that have not, or did not answer.
    std::vector<node_id> missing;

    bool operator==(const tree_summary&) const = default;
};

// --- Messages -------------------------------------------------------------

/// The news, for the receiver and its part of the tree.
struct spread
{
    round_id round;
    /// The duty adds the changes from here on to `revision`.
    std::uint64_t after = 0;
    std::uint64_t revision = 0;
    tree_node part;
};

/// The sender has got the round.
struct receipt
{
    round_id round;
};

/// What became of the sender's part of the tree.
struct summary
{
    round_id round;
    tree_summary result;
};

/// The sender has `have` and wants what is newer.
struct pull
{
    std::uint64_t have = 0;
};

/// The changes up to `revision`, for a node that has `after`; the duty adds
/// the content.
struct content
{
    std::uint64_t after = 0;
    std::uint64_t revision = 0;
};

using message = std::variant<spread, receipt, summary, pull, content>;

// --- Actions --------------------------------------------------------------

/// Send `value` to `to`.
struct send_message
{
    node_id to;
    message value;
};

/// Take the revision into force.
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

/// A child of which the summary is not there yet.
struct pending_child
{
    tree_node part;
    bool received = false;
    time_point deadline;
};

/// What one node knows of the rounds.
struct relay
{
    node_id self;
    /// The newest revision in force here; never decreases.
    std::uint64_t applied = 0;
    round_id round;
    std::uint64_t after = 0;
    std::uint64_t revision = 0;
    /// Whom the summary goes to; none at the root.
    std::optional<node_id> parent;
    std::map<node_id, pending_child> pending;
    tree_summary result;
    /// When this node itself counts as missing.
    time_point own_deadline;
    bool self_counted = false;
    bool ended = true;
    /// Nodes that wait for changes which are not here yet, with what they
    /// have.
    std::map<node_id, std::uint64_t> wanting;
};

/// Begins a round at the root, which has `revision` in force itself. `news`
/// holds the whole tree, and `after` is the revision of the round before.
/// Rounds must grow.
std::vector<action>
start_round(relay& state, const spread& news, time_point now);

/// Takes a message in.
std::vector<action> on_message(
    relay& state, const node_id& from, const message& value, time_point now);

/// Time has passed; called about every 50 ms while a round is open.
std::vector<action> on_tick(relay& state, time_point now);

/// The longest that a part of this height may take to be summed up.
duration summary_timeout(std::size_t height);

} // namespace bergamotusher::dissemination
