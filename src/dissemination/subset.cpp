#include "dissemination/subset.hpp"

#include "membership/rendezvous.hpp"

#include <algorithm>
#include <cstdint>
#include <map>
#include <set>

namespace bergamotusher::dissemination
{

namespace
{

/// The members in `region`, or all members if there are none in it.
template<class Member>
std::vector<Member>
members_in_region(const std::vector<Member>& members, const region_name& region)
{
    std::vector<Member> found;
    for (const Member& member : members)
        if (member.at.region == region)
            found.push_back(member);
    return found.empty() ? members : found;
}

/// A member with its rendezvous weight for some key; heaviest first.
template<class Member>
struct weighted
{
    std::uint64_t weight = 0;
    const Member* member = nullptr;

    bool operator<(const weighted& other) const
    {
        if (weight != other.weight)
            return weight > other.weight;
        return member->id < other.member->id;
    }
};

/// The members with their rendezvous weights for `key`, unsorted.
template<class Member>
std::vector<weighted<Member>>
compute_weights(const std::string& key, const std::vector<Member>& members)
{
    std::vector<weighted<Member>> order;
    order.reserve(members.size());
    for (const Member& member : members)
        order.push_back(
            {membership::rendezvous_weight(key, member.id.value), &member});
    return order;
}

using weighted_entries = std::vector<weighted<entry_member>>;

/// Moves the `width` heaviest members to the front, sorted. If they are all in
/// one failure domain, the last of them is replaced by the heaviest member of
/// another domain.
void select_heaviest(weighted_entries& order, std::size_t width)
{
    const auto end = order.begin() + static_cast<std::ptrdiff_t>(width);
    std::partial_sort(order.begin(), end, order.end());
    const failure_domain& first = order.front().member->at.domain;
    const auto in_other_domain = [&first](const auto& candidate)
    {
        return candidate.member->at.domain != first;
    };
    if (width < 2 || std::any_of(order.begin(), end, in_other_domain))
        return;
    auto best = order.end();
    for (auto candidate = end; candidate != order.end(); ++candidate)
        if (in_other_domain(*candidate) &&
            (best == order.end() || *candidate < *best))
            best = candidate;
    if (best != order.end())
        std::iter_swap(end - 1, best);
}

/// Same as `choose_announcement_targets`, with `entries` limited to one region.
std::vector<node_id> choose_entries(
    const upstream_member& self,
    std::size_t width,
    const std::vector<entry_member>& entries)
{
    auto order = compute_weights(self.id.value, entries);
    select_heaviest(order, width);
    std::vector<node_id> chosen;
    for (std::size_t i = 0; i < width; ++i)
        chosen.push_back(order[i].member->id);
    return chosen;
}

/// The upstreams of `regional` that announce themselves to `self`.
std::set<upstream_id> upstreams_choosing(
    const entry_member& self,
    const std::vector<entry_member>& entries,
    const std::vector<upstream_member>& regional,
    const subset_options& options)
{
    std::map<region_name, std::vector<entry_member>> candidates;
    std::set<upstream_id> choosers;
    for (const upstream_member& each : regional)
    {
        auto& region = candidates[each.at.region];
        if (region.empty())
            region = members_in_region(entries, each.at.region);
        const std::size_t width =
            announce_width(regional.size(), region.size(), options);
        const auto chosen = choose_entries(each, width, region);
        if (std::find(chosen.begin(), chosen.end(), self.id) != chosen.end())
            choosers.insert(each.id);
    }
    return choosers;
}

/// Adds up to `count` upstreams of `order` that `accepts` returns true for,
/// heaviest first.
template<class Filter>
void add_heaviest(
    std::set<upstream_id>& subset,
    const std::vector<weighted<upstream_member>>& order,
    std::size_t count,
    Filter accepts)
{
    for (const auto& candidate : order)
    {
        if (count == 0)
            return;
        if (accepts(*candidate.member) &&
            subset.insert(candidate.member->id).second)
            --count;
    }
}

std::map<failure_domain, std::size_t> count_by_domain(
    const std::set<upstream_id>& subset,
    const std::vector<upstream_member>& upstreams)
{
    std::map<failure_domain, std::size_t> counts;
    for (const upstream_member& each : upstreams)
        counts[each.at.domain] += subset.contains(each.id) ? 1 : 0;
    return counts;
}

/// Adds upstreams until the subset has a minimum number from each failure
/// domain, and then until it has `min_size` upstreams.
void add_missing_upstreams(
    std::set<upstream_id>& subset,
    const entry_member& self,
    const std::vector<upstream_member>& upstreams,
    std::size_t min_size)
{
    const auto counts = count_by_domain(subset, upstreams);
    // Half of an even share is enough to continue with when other failure
    // domains are lost.
    const std::size_t min_per_domain =
        std::max<std::size_t>(1, min_size / (2 * counts.size()));
    const bool is_spread = std::all_of(
        counts.begin(),
        counts.end(),
        [min_per_domain](const auto& each)
        { return each.second >= min_per_domain; });
    if (is_spread && subset.size() >= min_size)
        return;
    auto order = compute_weights(self.id.value, upstreams);
    std::sort(order.begin(), order.end());
    for (const auto& [domain, count] : counts)
        add_heaviest(
            subset,
            order,
            min_per_domain - std::min(min_per_domain, count),
            [&domain = domain](const upstream_member& candidate)
            { return candidate.at.domain == domain; });
    add_heaviest(
        subset,
        order,
        min_size - std::min(min_size, subset.size()),
        [](const upstream_member&) { return true; });
}

} // namespace

std::size_t announce_width(
    std::size_t upstreams, std::size_t entries, const subset_options& options)
{
    if (upstreams == 0)
        return entries;
    const std::size_t width =
        (entries * options.target_upstreams + upstreams - 1) / upstreams;
    return std::min(entries, std::max(width, options.min_entries));
}

std::vector<node_id> choose_announcement_targets(
    const upstream_member& self,
    std::size_t upstreams,
    const std::vector<entry_member>& entries,
    const subset_options& options)
{
    if (entries.empty())
        return {};
    const auto regional = members_in_region(entries, self.at.region);
    const std::size_t width =
        announce_width(upstreams, regional.size(), options);
    return choose_entries(self, width, regional);
}

std::vector<upstream_id> subset_for(
    const entry_member& self,
    const std::vector<entry_member>& entries,
    const std::vector<upstream_member>& upstreams,
    const subset_options& options)
{
    if (upstreams.empty())
        return {};
    const auto regional = members_in_region(upstreams, self.at.region);
    auto subset = upstreams_choosing(self, entries, regional, options);
    add_missing_upstreams(
        subset,
        self,
        regional,
        std::min(options.min_upstreams, regional.size()));
    return {subset.begin(), subset.end()};
}

} // namespace bergamotusher::dissemination
