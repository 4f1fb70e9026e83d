#include "routing/subset.hpp"

#include "membership/rendezvous.hpp"

#include <algorithm>

namespace bergamotusher::routing
{

namespace
{

struct weighted_upstream
{
    std::uint64_t weight = 0;
    upstream_id id;

    bool operator<(const weighted_upstream& other) const
    {
        return weight > other.weight ||
               (weight == other.weight && id < other.id);
    }
};

std::map<failure_domain, std::vector<weighted_upstream>> serving_by_domain(
    const membership::directory& dir,
    const std::vector<upstream_id>& ids,
    const node_id& self)
{
    std::map<failure_domain, std::vector<weighted_upstream>> domains;
    for (const upstream_id& id : ids)
    {
        const auto* entry = find(dir, id);
        if (!entry || entry->value.state != upstream_state::serving)
            continue;
        domains[entry->value.domain].push_back(
            {membership::rendezvous_weight(self.value, id.value), id});
    }
    return domains;
}

std::vector<roster_row> roster_rows(
    const routing_state& state,
    const membership::directory& dir,
    const std::vector<upstream_id>& ids)
{
    std::vector<roster_row> rows;
    rows.reserve(ids.size());
    for (const upstream_id& id : ids)
    {
        const auto* entry = find(dir, id);
        const auto known = state.upstreams.find(id);
        if (entry)
            rows.push_back(
                {entry,
                 known == state.upstreams.end() ? nullptr : &known->second});
    }
    return rows;
}

} // namespace

std::vector<upstream_id> select_subset(
    const membership::directory& dir,
    const service_name& name,
    const node_id& self,
    std::size_t size)
{
    const auto found = dir.by_service.find(name);
    if (found == dir.by_service.end())
        return {};
    if (found->second.size() <= size)
        return found->second;
    auto domains = serving_by_domain(dir, found->second, self);
    std::size_t total = 0;
    for (const auto& [domain, all] : domains)
        total += all.size();
    std::vector<upstream_id> chosen;
    for (auto& [domain, all] : domains)
    {
        const std::size_t part =
            std::min(all.size(), (all.size() * size + total - 1) / total);
        const auto end = all.begin() + static_cast<std::ptrdiff_t>(part);
        std::partial_sort(all.begin(), end, all.end());
        for (auto one = all.begin(); one != end; ++one)
            chosen.push_back(one->id);
    }
    return chosen;
}

void refresh_subsets(
    routing_state& state, const membership::directory& dir, const node_id& self)
{
    state.subsets.clear();
    state.members = {};
    for (const auto& [name, ids] : dir.by_service)
    {
        if (ids.size() > subset_size)
            state.subsets[name] = select_subset(dir, name, self);
        const auto subset = state.subsets.find(name);
        state.members.services[name] = roster_rows(
            state, dir, subset == state.subsets.end() ? ids : subset->second);
    }
    state.members.owner = &dir;
    state.members.generation = dir.generation;
}

} // namespace bergamotusher::routing
