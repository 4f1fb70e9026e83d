#include "rollout/local_rule.hpp"

#include <algorithm>
#include <limits>

namespace bergamotusher::rollout
{

namespace
{

/// Passed as the number of carriers, so that the verdict names no single
/// suspect: only the leader decides on suspects.
constexpr std::size_t multiple_carriers = 2;

std::optional<version_name>
trial_version(const std::vector<version_share>& shares)
{
    for (const version_share& share : shares)
        if (share.on_trial)
            return share.version;
    return std::nullopt;
}

void drop_ended_trials(local_evidence& known, const configuration& in_force)
{
    for (auto at = known.begin(); at != known.end();)
    {
        const auto split = in_force.splits.find(at->first);
        const bool on_trial =
            split != in_force.splits.end() &&
            trial_version(split->second) == at->second.version;
        at = on_trial ? std::next(at) : known.erase(at);
    }
}

bool is_stopped(
    const std::vector<version_name>& stopped, const version_share& share)
{
    return std::find(stopped.begin(), stopped.end(), share.version) !=
           stopped.end();
}

} // namespace

void add_local_samples(
    local_evidence& known,
    const configuration& in_force,
    const std::vector<evidence_sample>& samples,
    time_point now)
{
    drop_ended_trials(known, in_force);
    for (const auto& [service, shares] : in_force.splits)
        if (const auto version = trial_version(shares))
            known[service].version = *version;
    const auto tests_for = [&](const evidence_sample& sample) -> local_tests*
    {
        const auto found = known.find(sample.key.service);
        return found == known.end() ? nullptr : &found->second;
    };
    for (const evidence_sample& sample : samples)
    {
        local_tests* trial = tests_for(sample);
        if (trial != nullptr && sample.key.version != trial->version)
            add_old_sample(trial->known, sample, now);
    }
    for (const evidence_sample& sample : samples)
    {
        local_tests* trial = tests_for(sample);
        if (trial != nullptr && sample.key.version == trial->version)
            add_new_sample(trial->known, trial->tests, sample);
    }
}

std::vector<stopped_version> stopped_versions(
    local_evidence& known, time_point now, const test_policy& policy)
{
    std::vector<stopped_version> stopped;
    for (auto& [service, trial] : known)
    {
        if (trial.stopped && now - *trial.stopped >= local_stop_time)
        {
            trial.stopped.reset();
            trial.tests.clear();
            trial.known.crashes = 0;
            trial.known.new_lengths = {};
        }
        if (!trial.stopped &&
            judge(trial.known, trial.tests, multiple_carriers, policy).bad)
            trial.stopped = now;
        if (trial.stopped)
            stopped.emplace_back(service, trial.version);
    }
    return stopped;
}

version_share pick_version(
    const std::vector<version_share>& shares,
    const std::vector<version_name>& stopped,
    std::uint64_t draw)
{
    double total_share = 0;
    for (const version_share& share : shares)
        total_share += is_stopped(stopped, share) ? 0 : share.share;
    if (total_share <= 0)
        return shares.empty() ? version_share{} : shares.front();
    constexpr auto largest =
        static_cast<double>(std::numeric_limits<std::uint64_t>::max());
    double remaining = static_cast<double>(draw) / largest * total_share;
    const version_share* last = nullptr;
    for (const version_share& share : shares)
    {
        if (is_stopped(stopped, share) || share.share <= 0)
            continue;
        last = &share;
        remaining -= share.share;
        if (remaining < 0)
            break;
    }
    return *last;
}

} // namespace bergamotusher::rollout
