#include "serving/version_selection.hpp"

#include <algorithm>

namespace bergamotusher::serving
{

namespace
{

/// Number of distinct values of a draw between 0 and 1.
constexpr std::uint64_t draw_steps = 1'000'000;

const version_share&
draw_share(const std::vector<version_share>& shares, std::uint64_t draw)
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

bool is_off_trial(const version_share& share)
{
    return !share.on_trial && share.share > 0;
}

version_candidate candidate_of(const version_share& share)
{
    return {{share.version}, share.only};
}

/// Adds the versions that have traffic and are not on trial, merged into as few
/// candidates as possible; adds none if all are on trial.
void add_off_trial(
    const std::vector<version_share>& shares,
    std::vector<version_candidate>& candidates)
{
    version_candidate off_trial;
    for (const version_share& share : shares)
        if (is_off_trial(share) && share.only.empty())
            off_trial.versions.push_back(share.version);
    if (!off_trial.versions.empty())
        candidates.push_back(std::move(off_trial));
    for (const version_share& share : shares)
        if (is_off_trial(share) && !share.only.empty())
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
        candidates.push_back(candidate_of(draw_share(shares, draw)));
    for (const version_share& share : shares)
        if (share.version == current && is_off_trial(share))
            candidates.push_back(candidate_of(share));
    add_off_trial(shares, candidates);
    if (candidates.empty())
        for (const version_share& share : shares)
            if (share.share > 0)
                candidates.push_back(candidate_of(share));
    return candidates;
}

} // namespace bergamotusher::serving
