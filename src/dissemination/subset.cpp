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

/// The members in `region`; all of them if it has none.
template<class Member>
std::vector<Member>
within(const std::vector<Member>& members, const region_name& region)
{
    std::vector<Member> found;
    for (const Member& member : members)
        if (member.at.region == region)
            found.push_back(member);
    return found.empty() ? members : found;
}

/// A member and what it weighs for somebody.
template<class Member>
struct weighed
{
    std::uint64_t weight = 0;
    const Member* member = nullptr;

    bool operator<(const weighed& other) const
    {
        if (weight != other.weight)
            return weight > other.weight;
        return member->id < other.member->id;
    }
};

/// The members with what they weigh for `key`, in no order.
template<class Member>
std::vector<weighed<Member>>
weigh(const std::string& key, const std::vector<Member>& members)
{
    std::vector<weighed<Member>> order;
    order.reserve(members.size());
    for (const Member& member : members)
        order.push_back(
            {membership::rendezvous_weight(key, member.id.value), &member});
    return order;
}

using weighed_entries = std::vector<weighed<entry_member>>;

/// Brings the `width` heaviest to the front, in order. If these stand in one
/// failure domain, the heaviest of the others takes the last place.
void sort_chosen(weighed_entries& order, std::size_t width)
{
    const auto end = order.begin() + static_cast<std::ptrdiff_t>(width);
    std::partial_sort(order.begin(), end, order.end());
    const failure_domain& first = order.front().member->at.domain;
    const auto elsewhere = [&first](const auto& one)
    {
        return one.member->at.domain != first;
    };
    if (width < 2 || std::any_of(order.begin(), end, elsewhere))
        return;
    auto best = order.end();
    for (auto one = end; one != order.end(); ++one)
        if (elsewhere(*one) && (best == order.end() || *one < *best))
            best = one;
    if (best != order.end())
        std::iter_swap(end - 1, best);
}

/// As `announced_to`, among `entries` of one region.
std::vector<node_id> choose_entries(
    const upstream_member& self,
    std::size_t width,
    const std::vector<entry_member>& entries)
{
    auto order = weigh(self.id.value, entries);
    sort_chosen(order, width);
    std::vector<node_id> chosen;
    for (std::size_t i = 0; i < width; ++i)
        chosen.push_back(order[i].member->id);
    return chosen;
}

/// The upstreams of `near` that choose `self`.
std::set<upstream_id> choosers_of(
    const entry_member& self,
    const std::vector<entry_member>& entries,
    const std::vector<upstream_member>& near,
    const subset_options& options)
{
    std::map<region_name, std::vector<entry_member>> candidates;
    std::set<upstream_id> choosers;
    for (const upstream_member& each : near)
    {
        auto& region = candidates[each.at.region];
        if (region.empty())
            region = within(entries, each.at.region);
        const std::size_t width =
            announce_width(near.size(), region.size(), options);
        const auto chosen = choose_entries(each, width, region);
        if (std::find(chosen.begin(), chosen.end(), self.id) != chosen.end())
            choosers.insert(each.id);
    }
    return choosers;
}

/// Adds the heaviest of `order` that `wanted` takes, until `more` are added.
template<class Wanted>
void top_up(
    std::set<upstream_id>& subset,
    const std::vector<weighed<upstream_member>>& order,
    std::size_t more,
    Wanted wanted)
{
    for (const auto& one : order)
    {
        if (more == 0)
            return;
        if (wanted(*one.member) && subset.insert(one.member->id).second)
            --more;
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

/// Gives every failure domain its least part, then the whole its least size.
void fill(
    std::set<upstream_id>& subset,
    const entry_member& self,
    const std::vector<upstream_member>& upstreams,
    std::size_t least)
{
    const auto counts = count_by_domain(subset, upstreams);
    // Half of an even part is enough to go on with when others are lost.
    const std::size_t part =
        std::max<std::size_t>(1, least / (2 * counts.size()));
    const bool spread = std::all_of(
        counts.begin(),
        counts.end(),
        [part](const auto& each) { return each.second >= part; });
    if (spread && subset.size() >= least)
        return;
    auto order = weigh(self.id.value, upstreams);
    std::sort(order.begin(), order.end());
    for (const auto& [domain, count] : counts)
        top_up(
            subset,
            order,
            part - std::min(part, count),
            [&domain = domain](const upstream_member& one)
            { return one.at.domain == domain; });
    top_up(
        subset,
        order,
        least - std::min(least, subset.size()),
        [](const upstream_member&) { return true; });
}

} // namespace

std::size_t announce_width(
    std::size_t upstreams, std::size_t entries, const subset_options& options)
{
    if (upstreams == 0)
        return entries;
    const std::size_t width =
        (entries * options.wanted_upstreams + upstreams - 1) / upstreams;
    return std::min(entries, std::max(width, options.least_entries));
}

std::vector<node_id> announced_to(
    const upstream_member& self,
    std::size_t upstreams,
    const std::vector<entry_member>& entries,
    const subset_options& options)
{
    if (entries.empty())
        return {};
    const auto near = within(entries, self.at.region);
    const std::size_t width = announce_width(upstreams, near.size(), options);
    return choose_entries(self, width, near);
}

std::vector<upstream_id> subset_for(
    const entry_member& self,
    const std::vector<entry_member>& entries,
    const std::vector<upstream_member>& upstreams,
    const subset_options& options)
{
    if (upstreams.empty())
        return {};
    const auto near = within(upstreams, self.at.region);
    auto subset = choosers_of(self, entries, near, options);
    fill(subset, self, near, std::min(options.least_upstreams, near.size()));
    return {subset.begin(), subset.end()};
}

} // namespace bergamotusher::dissemination
