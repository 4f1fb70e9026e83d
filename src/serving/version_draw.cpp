#include "serving/version_draw.hpp"

#include <algorithm>

namespace bergamotusher::serving
{

namespace
{

/// Steps between 0 and 1 that a draw can take.
constexpr std::uint64_t draw_steps = 1'000'000;

const version_share&
drawn_share(const std::vector<version_share>& shares, std::uint64_t draw)
{
    const double point = static_cast<double>(draw % draw_steps) / draw_steps;
    double sum = 0;
    for (const version_share& share : shares)
    {
        sum += share.share;
        if (point < sum)
            return share;
    }
    return shares.back();
}

bool is_settled(const version_share& share)
{
    return !share.on_trial && share.share > 0;
}

version_candidate candidate_of(const version_share& share)
{
    return {{share.version}, share.only};
}

/// The versions that have traffic and are off trial, as few candidates as
/// can be; none if all are on trial.
void add_settled(
    const std::vector<version_share>& shares,
    std::vector<version_candidate>& candidates)
{
    version_candidate settled;
    for (const version_share& share : shares)
        if (is_settled(share) && share.only.empty())
            settled.versions.push_back(share.version);
    if (!settled.versions.empty())
        candidates.push_back(std::move(settled));
    for (const version_share& share : shares)
        if (is_settled(share) && !share.only.empty())
            candidates.push_back(candidate_of(share));
}

} // namespace

std::vector<version_candidate> version_candidates(
    const configuration& config,
    const service_name& service,
    const version_name& current,
    std::uint64_t draw)
{
    const auto split = config.splits.find(service);
    if (split == config.splits.end() || split->second.empty())
        return {version_candidate{}};
    const std::vector<version_share>& shares = split->second;
    std::vector<version_candidate> candidates;
    if (current.empty())
        candidates.push_back(candidate_of(drawn_share(shares, draw)));
    for (const version_share& share : shares)
        if (share.version == current && is_settled(share))
            candidates.push_back(candidate_of(share));
    add_settled(shares, candidates);
    if (candidates.empty())
        for (const version_share& share : shares)
            if (share.share > 0)
                candidates.push_back(candidate_of(share));
    return candidates;
}

} // namespace bergamotusher::serving
