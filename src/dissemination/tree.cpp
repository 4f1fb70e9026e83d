#include "dissemination/tree.hpp"

#include "membership/rendezvous.hpp"

#include <algorithm>
#include <map>
#include <utility>

namespace bergamotusher::dissemination
{

namespace
{

using domain_members = std::map<failure_domain, std::vector<node_id>>;

/// Sorts by descending rendezvous weight, so that a domain's inner nodes change
/// little when members join or leave.
void sort_by_weight(const failure_domain& domain, std::vector<node_id>& members)
{
    const auto weight = [&domain](const node_id& id)
    {
        return membership::rendezvous_weight(domain.value, id.value);
    };
    std::sort(
        members.begin(),
        members.end(),
        [&weight](const node_id& left, const node_id& right) {
            return std::pair(weight(left), left) >
                   std::pair(weight(right), right);
        });
}

/// The subtree at `index` of a heap-ordered array in which each node has up to
/// `fan_out` children.
tree_node heap_node(
    const std::vector<node_id>& members, std::size_t index, std::size_t fan_out)
{
    tree_node node{members[index], {}};
    const std::size_t first = index * fan_out + 1;
    const std::size_t end = std::min(first + fan_out, members.size());
    for (std::size_t child = first; child < end; ++child)
        node.children.push_back(heap_node(members, child, fan_out));
    return node;
}

/// The tree of a region. The roots of the other failure domains' trees are
/// children of the first domain's root.
tree_node region_node(domain_members& domains, std::size_t fan_out)
{
    std::vector<tree_node> roots;
    for (auto& [domain, members] : domains)
    {
        sort_by_weight(domain, members);
        roots.push_back(heap_node(members, 0, fan_out));
    }
    tree_node region_root = std::move(roots.front());
    std::move(
        roots.begin() + 1,
        roots.end(),
        std::back_inserter(region_root.children));
    return region_root;
}

} // namespace

tree_node build_tree(
    const node_id& root,
    const std::vector<entry_member>& members,
    std::size_t fan_out)
{
    std::map<region_name, domain_members> regions;
    std::size_t count = 0;
    tree_node tree{root, {}};
    for (const entry_member& each : members)
    {
        if (each.id == root)
            continue;
        regions[each.at.region][each.at.domain].push_back(each.id);
        tree.children.push_back({each.id, {}});
        ++count;
    }
    if (count <= fan_out)
        return tree;
    tree.children.clear();
    for (auto& [region, domains] : regions)
        tree.children.push_back(region_node(domains, fan_out));
    return tree;
}

std::size_t height_of(const tree_node& node)
{
    std::size_t height = 0;
    for (const tree_node& child : node.children)
        height = std::max(height, height_of(child) + 1);
    return height;
}

std::size_t size_of(const tree_node& node)
{
    std::size_t size = 1;
    for (const tree_node& child : node.children)
        size += size_of(child);
    return size;
}

} // namespace bergamotusher::dissemination
