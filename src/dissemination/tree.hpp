// The tree by which configuration goes out from the leader to all entries.
//
// The leader speaks to one entry of each region, this one to one of each
// failure domain of its region, and these to the rest of their domain. Where
// there are few entries, the leader speaks to all of them.
#pragma once

#include "dissemination/member.hpp"

#include <cstddef>
#include <vector>

namespace bergamotusher::dissemination
{

/// Most entries of its own failure domain that an entry sends to.
inline constexpr std::size_t tree_fan_out = 8;

/// An entry and those that get the news through it. The sender hands each
/// child its part of the tree with the news, so that nobody has to agree on
/// the members beforehand.
struct tree_node
{
    node_id id;
    std::vector<tree_node> children;

    bool operator==(const tree_node&) const = default;
};

/// The tree from `root` to all of `members`; `root` may be one of these.
tree_node build_tree(
    const node_id& root,
    const std::vector<entry_member>& members,
    std::size_t fan_out = tree_fan_out);

/// The number of hops from `node` to its farthest descendant.
std::size_t height_of(const tree_node& node);

/// `node` and all of its descendants.
std::size_t size_of(const tree_node& node);

} // namespace bergamotusher::dissemination
