#include "site/move_evidence.hpp"

#include "site/move_history.hpp"

#include <algorithm>

namespace bergamotusher::site
{

namespace
{

version_counts
count_since(const version_counts& seen, const version_counts& before)
{
    return {
        seen.successes - std::min(seen.successes, before.successes),
        seen.failures - std::min(seen.failures, before.failures),
        seen.latency_samples -
            std::min(seen.latency_samples, before.latency_samples),
        seen.log_latency_sum - before.log_latency_sum};
}

} // namespace

void add_evidence(
    std::map<std::string, version_evidence>& routes,
    const version_move& move,
    const reported_counts& counts,
    const reported_counts& baseline)
{
    for (const auto& [key, seen] : counts)
    {
        const auto& [service, version, route] = key;
        if (service != move.service.value || is_rejected(move, {version}))
            continue;
        const auto before = baseline.find(key);
        const version_counts delta =
            before == baseline.end() ? seen : count_since(seen, before->second);
        version_evidence& sum = routes[route];
        sum.route = route;
        const bool is_new = version == move.target.value;
        (is_new ? sum.new_successes : sum.old_successes) += delta.successes;
        (is_new ? sum.new_failures : sum.old_failures) += delta.failures;
        (is_new ? sum.new_latency_samples : sum.old_latency_samples) +=
            delta.latency_samples;
        (is_new ? sum.new_log_latency_sum : sum.old_log_latency_sum) +=
            delta.log_latency_sum;
    }
}

} // namespace bergamotusher::site
