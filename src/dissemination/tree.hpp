// The tree along which the leader distributes the configuration to all entries.
//
// The leader sends to one entry of each region. This entry sends to one entry
// of each other failure domain of its region, and these send to the rest of
// their domain. If there are few entries, the leader sends to all of them.
#pragma once

#include "dissemination/member.hpp"

#include <cstddef>
#include <vector>

namespace bergamotusher::dissemination
{

/// Maximum number of entries of its own failure domain that an entry sends to.
inline constexpr std::size_t tree_fan_out = 8;

/// An entry and the entries that receive messages through it. Each message
/// carries the receiver's subtree, so nodes need not agree on the membership
/// beforehand.
struct tree_node
{
    node_id id;
    std::vector<tree_node> children;

    bool operator==(const tree_node&) const = default;
};

/// Builds the tree from `root` to all of `members`, which may contain `root`.
tree_node build_tree(
    const node_id& root,
    const std::vector<entry_member>& members,
    std::size_t fan_out = tree_fan_out);

/// The number of hops from `node` to its farthest descendant.
std::size_t height_of(const tree_node& node);

/// The number of nodes: `node` and all of its descendants.
std::size_t size_of(const tree_node& node);

} // namespace bergamotusher::dissemination
