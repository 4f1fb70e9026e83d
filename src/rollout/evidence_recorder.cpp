#include "rollout/evidence_recorder.hpp"

#include <algorithm>

namespace bergamotusher::rollout
{

namespace
{

/// Below these, latencies differ by the network and the scheduler more than
/// by the version, and are far within any class's target.
constexpr duration least_first_token = 20ms;
constexpr duration least_token_gap = 5ms;

evidence_sample& sum_of(
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
        add(sum.first_token,
            std::max(*observed.first_token, least_first_token));
    if (observed.mean_gap)
        add(sum.token_gap, std::max(*observed.mean_gap, least_token_gap));
}

bool is_excused(
    const evidence_recorder& recorder,
    const upstream_id& target,
    time_point now)
{
    const auto found = recorder.excused.find(target);
    return found != recorder.excused.end() &&
           now - found->second < excused_time;
}

/// Counts one crash for each upstream whose oldest break waited long enough.
void settle_broken(evidence_recorder& recorder, time_point now)
{
    auto& broken = recorder.broken;
    while (!broken.empty() && now - broken.front().at >= excuse_time)
    {
        const broken_attempt first = broken.front();
        if (!is_excused(recorder, first.target, now))
            ++sum_of(recorder, first.key, first.target).crashed;
        const auto same = [&](const broken_attempt& each)
        {
            return each.target == first.target &&
                   each.at - first.at < excuse_time;
        };
        broken.erase(
            std::remove_if(broken.begin(), broken.end(), same), broken.end());
    }
}

} // namespace

void watch(evidence_recorder& recorder, const configuration& in_force)
{
    recorder.watched.clear();
    for (const auto& [service, shares] : in_force.splits)
        for (const version_share& share : shares)
            if (share.on_trial)
                recorder.watched.insert(service);
}

void observe(
    evidence_recorder& recorder,
    const attempt_observed& observed,
    time_point now)
{
    const auto& key = observed.key;
    if (recorder.watched.count(key.service) == 0)
        return;
    if (!observed.failure)
        return count_success(sum_of(recorder, key, observed.target), observed);
    switch (*observed.failure)
    {
    case attempt_failure::connection_refused:
        // The upstream is not there: no evidence of its version.
        return;
    case attempt_failure::broken:
        recorder.broken.push_back({now, key, observed.target});
        return;
    case attempt_failure::refused:
        // At full load a refusal speaks of the load.
        if (key.band != load_band::full)
            ++sum_of(recorder, key, observed.target).failed;
        return;
    case attempt_failure::malformed:
    case attempt_failure::silent:
    case attempt_failure::server_error:
        ++sum_of(recorder, key, observed.target).failed;
        return;
    }
}

void excuse(
    evidence_recorder& recorder, const upstream_id& target, time_point now)
{
    recorder.excused[target] = now;
}

std::vector<evidence_sample> take(evidence_recorder& recorder, time_point now)
{
    settle_broken(recorder, now);
    for (auto at = recorder.excused.begin(); at != recorder.excused.end();)
        at = now - at->second < excused_time ? std::next(at)
                                             : recorder.excused.erase(at);
    std::vector<evidence_sample> samples;
    for (auto& [key, sum] : recorder.sums)
        samples.push_back(std::move(sum));
    recorder.sums.clear();
    return samples;
}

} // namespace bergamotusher::rollout
