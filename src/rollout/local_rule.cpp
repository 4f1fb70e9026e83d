#include "rollout/local_rule.hpp"

#include <algorithm>
#include <limits>

namespace bergamotusher::rollout
{

namespace
{

/// Whether a slow upstream is a suspect is for the leader to say.
constexpr std::size_t any_number = 2;

std::optional<version_name> trial_of(const std::vector<version_share>& shares)
{
    for (const version_share& share : shares)
        if (share.on_trial)
            return share.version;
    return std::nullopt;
}

void forget_ended(local_evidence& known, const configuration& in_force)
{
    for (auto at = known.begin(); at != known.end();)
    {
        const auto split = in_force.splits.find(at->first);
        const bool on_trial = split != in_force.splits.end() &&
                              trial_of(split->second) == at->second.version;
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

void absorb(
    local_evidence& known,
    const configuration& in_force,
    const std::vector<evidence_sample>& samples,
    time_point now)
{
    forget_ended(known, in_force);
    for (const auto& [service, shares] : in_force.splits)
        if (const auto version = trial_of(shares))
            known[service].version = *version;
    const auto tests_for = [&](const evidence_sample& sample) -> local_tests*
    {
        const auto found = known.find(sample.key.service);
        return found == known.end() ? nullptr : &found->second;
    };
    for (const evidence_sample& sample : samples)
    {
        local_tests* at = tests_for(sample);
        if (at != nullptr && sample.key.version != at->version)
            absorb_old(at->known, sample, now);
    }
    for (const evidence_sample& sample : samples)
    {
        local_tests* at = tests_for(sample);
        if (at != nullptr && sample.key.version == at->version)
            absorb_new(at->known, at->tests, sample);
    }
}

std::vector<stopped_version>
local_verdict(local_evidence& known, time_point now, const test_policy& policy)
{
    std::vector<stopped_version> stopped;
    for (auto& [service, at] : known)
    {
        if (at.stopped && now - *at.stopped >= local_stop_time)
        {
            at.stopped.reset();
            at.tests.clear();
            at.known.crashes = 0;
            at.known.new_lengths = {};
        }
        if (!at.stopped && judge(at.known, at.tests, any_number, policy).bad)
            at.stopped = now;
        if (at.stopped)
            stopped.emplace_back(service, at.version);
    }
    return stopped;
}

version_share pick_version(
    const std::vector<version_share>& shares,
    const std::vector<version_name>& stopped,
    std::uint64_t draw)
{
    double all = 0;
    for (const version_share& share : shares)
        all += is_stopped(stopped, share) ? 0 : share.share;
    if (all <= 0)
        return shares.empty() ? version_share{} : shares.front();
    constexpr auto largest =
        static_cast<double>(std::numeric_limits<std::uint64_t>::max());
    double left = static_cast<double>(draw) / largest * all;
    const version_share* last = nullptr;
    for (const version_share& share : shares)
    {
        if (is_stopped(stopped, share) || share.share <= 0)
            continue;
        last = &share;
        left -= share.share;
        if (left < 0)
            break;
    }
    return *last;
}

} // namespace bergamotusher::rollout
