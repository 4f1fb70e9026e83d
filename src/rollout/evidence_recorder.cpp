#include "rollout/evidence_recorder.hpp"

#include <algorithm>

namespace bergamotusher::rollout
{

namespace
{

/// Lower latencies are raised to these bounds: below them latencies depend on
/// the network and the scheduler more than on the version, and are far within
/// the target of any class.
constexpr duration min_first_token = 20ms;
constexpr duration min_token_gap = 5ms;

evidence_sample& sample_for(
    evidence_recorder& recorder,
    const evidence_key& key,
    const upstream_id& target)
{
    evidence_sample& sum = recorder.sums[{key, target}];
    sum.key = key;
    sum.target = target;
    return sum;
}

void count_success(evidence_sample& sum, const attempt_observed& observed)
{
    ++sum.succeeded;
    sum.answered_tokens += observed.answered_tokens;
    if (observed.first_token)
        add(sum.first_token, std::max(*observed.first_token, min_first_token));
    if (observed.mean_gap)
        add(sum.token_gap, std::max(*observed.mean_gap, min_token_gap));
}

bool is_excluded(
    const evidence_recorder& recorder,
    const upstream_id& target,
    time_point now)
{
    const auto found = recorder.excluded.find(target);
    return found != recorder.excluded.end() &&
           now - found->second < exclusion_time;
}

/// Counts one crash for each upstream whose first broken connection was held
/// back for `crash_grace_period`.
void count_crashes(evidence_recorder& recorder, time_point now)
{
    auto& broken = recorder.broken;
    while (!broken.empty() && now - broken.front().at >= crash_grace_period)
    {
        const broken_attempt first = broken.front();
        if (!is_excluded(recorder, first.target, now))
            ++sample_for(recorder, first.key, first.target).crashed;
        const auto is_same_crash = [&](const broken_attempt& each)
        {
            return each.target == first.target &&
                   each.at - first.at < crash_grace_period;
        };
        broken.erase(
            std::remove_if(broken.begin(), broken.end(), is_same_crash),
            broken.end());
    }
}

} // namespace

void set_recorded_services(
    evidence_recorder& recorder, const configuration& in_force)
{
    recorder.watched.clear();
    for (const auto& [service, shares] : in_force.splits)
        for (const version_share& share : shares)
            if (share.on_trial)
                recorder.watched.insert(service);
}

void record_attempt(
    evidence_recorder& recorder,
    const attempt_observed& observed,
    time_point now)
{
    const auto& key = observed.key;
    if (recorder.watched.count(key.service) == 0)
        return;
    if (!observed.failure)
        return count_success(
            sample_for(recorder, key, observed.target), observed);
    switch (*observed.failure)
    {
    case attempt_failure::connection_refused:
        // No upstream process was reached, so this is no evidence about its
        // version.
        return;
    case attempt_failure::broken:
        recorder.broken.push_back({now, key, observed.target});
        return;
    case attempt_failure::refused:
        // A refusal at full load is due to the load.
        if (key.band != load_band::full)
            ++sample_for(recorder, key, observed.target).failed;
        return;
    case attempt_failure::malformed:
    case attempt_failure::silent:
    case attempt_failure::server_error:
        ++sample_for(recorder, key, observed.target).failed;
        return;
    }
}

void exclude_crashes(
    evidence_recorder& recorder, const upstream_id& target, time_point now)
{
    recorder.excluded[target] = now;
}

std::vector<evidence_sample>
take_samples(evidence_recorder& recorder, time_point now)
{
    count_crashes(recorder, now);
    for (auto at = recorder.excluded.begin(); at != recorder.excluded.end();)
        at = now - at->second < exclusion_time ? std::next(at)
                                               : recorder.excluded.erase(at);
    std::vector<evidence_sample> samples;
    for (auto& [key, sum] : recorder.sums)
        samples.push_back(std::move(sum));
    recorder.sums.clear();
    return samples;
}

} // namespace bergamotusher::rollout
