#include "daemon/version_watch.hpp"

namespace bergamotusher
{

namespace
{

constexpr double medium_load = 0.5;
constexpr double full_load = 0.85;

void remove_version(
    std::vector<version_share>& shares, const version_name& version)
{
    std::vector<version_share> left;
    double sum = 0;
    for (const version_share& one : shares)
        if (one.version != version)
        {
            left.push_back(one);
            sum += one.share;
        }
    if (left.empty() || sum <= 0)
        return;
    for (version_share& one : left)
        one.share /= sum;
    shares = std::move(left);
}

} // namespace

load_band band_of(double used)
{
    if (used < medium_load)
        return load_band::low;
    return used < full_load ? load_band::medium : load_band::full;
}

watch_result
collect(version_watch& watch, const configuration& in_force, time_point now)
{
    rollout::watch(watch.recorder, in_force);
    auto samples = rollout::take(watch.recorder, now);
    rollout::absorb(watch.known, in_force, samples, now);
    auto stopped = rollout::local_verdict(watch.known, now);
    watch_result result;
    result.changed = stopped != watch.stopped;
    watch.stopped = std::move(stopped);
    if (!watch.recorder.watched.empty())
        result.report = rollout::evidence_report{
            ++watch.sequence, std::move(samples), watch.stopped};
    return result;
}

std::shared_ptr<const configuration> without_stopped(
    const std::shared_ptr<const configuration>& in_force,
    const std::vector<rollout::stopped_version>& stopped)
{
    if (stopped.empty())
        return in_force;
    auto result = std::make_shared<configuration>(*in_force);
    for (const auto& [service, version] : stopped)
    {
        const auto found = result->splits.find(service);
        if (found != result->splits.end())
            remove_version(found->second, version);
    }
    return result;
}

} // namespace bergamotusher
