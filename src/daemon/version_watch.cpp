#include "daemon/version_watch.hpp"

namespace bergamotusher
{

namespace
{

constexpr double min_medium_utilisation = 0.5;
constexpr double min_full_utilisation = 0.85;

void remove_version(
    std::vector<version_share>& shares, const version_name& version)
{
    std::vector<version_share> remaining;
    double sum = 0;
    for (const version_share& item : shares)
        if (item.version != version)
        {
            remaining.push_back(item);
            sum += item.share;
        }
    if (remaining.empty() || sum <= 0)
        return;
    for (version_share& item : remaining)
        item.share /= sum;
    shares = std::move(remaining);
}

} // namespace

load_band load_band_of(double used)
{
    if (used < min_medium_utilisation)
        return load_band::low;
    return used < min_full_utilisation ? load_band::medium : load_band::full;
}

watch_result evaluate_evidence(
    version_watch& watch, const configuration& in_force, time_point now)
{
    rollout::set_recorded_services(watch.recorder, in_force);
    auto samples = rollout::take_samples(watch.recorder, now);
    rollout::add_local_samples(watch.evidence, in_force, samples, now);
    auto stopped = rollout::stopped_versions(watch.evidence, now);
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
