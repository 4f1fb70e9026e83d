#include "site/move_policy.hpp"

#include <algorithm>
#include <cmath>

namespace bergamotusher::site
{

namespace
{

constexpr std::uint32_t full_share = 1000;

double failure_rate(std::uint64_t failures, std::uint64_t successes)
{
    const std::uint64_t total = failures + successes;
    return total == 0
               ? 0
               : static_cast<double>(failures) / static_cast<double>(total);
}

/// Whether the target's latency exceeds the old version's over all routes that
/// the old version answered.
bool is_slow_over_all_routes(
    const move_options& options, const std::vector<version_evidence>& evidence)
{
    double excess = 0;
    std::uint64_t samples = 0;
    for (const version_evidence& each : evidence)
    {
        if (each.old_latency_samples < options.min_latency_samples)
            continue;
        const double old_mean = each.old_log_latency_sum /
                                static_cast<double>(each.old_latency_samples);
        excess += each.new_log_latency_sum -
                  old_mean * static_cast<double>(each.new_latency_samples);
        samples += each.new_latency_samples;
    }
    if (samples < options.min_pooled_samples)
        return false;
    const auto count = static_cast<double>(samples);
    return excess / count > std::log(options.max_latency_ratio) +
                                options.latency_spread / std::sqrt(count);
}

/// Why the target is judged bad; empty if it is not.
std::string find_regression(
    const move_options& options, const std::vector<version_evidence>& evidence)
{
    std::uint64_t old_failures = 0;
    std::uint64_t old_successes = 0;
    std::uint64_t new_failures = 0;
    std::uint64_t new_successes = 0;
    for (const version_evidence& each : evidence)
    {
        old_failures += each.old_failures;
        old_successes += each.old_successes;
        new_failures += each.new_failures;
        new_successes += each.new_successes;
        if (each.new_failures >= options.min_answers &&
            failure_rate(each.new_failures, each.new_successes) >
                failure_rate(each.old_failures, each.old_successes) +
                    2 * options.failure_rate_margin)
            return "failures on route " + each.route;
        if (each.new_latency_samples >= options.min_latency_samples &&
            each.old_latency_samples >= options.min_latency_samples &&
            each.new_log_latency_sum /
                        static_cast<double>(each.new_latency_samples) -
                    each.old_log_latency_sum /
                        static_cast<double>(each.old_latency_samples) >
                std::log(options.max_latency_ratio))
            return "slow on route " + each.route;
    }
    if (new_failures >= options.min_answers &&
        failure_rate(new_failures, new_successes) >
            failure_rate(old_failures, old_successes) +
                options.failure_rate_margin)
        return "failures";
    if (is_slow_over_all_routes(options, evidence))
        return "slow";
    return {};
}

} // namespace

version_move advance(
    const move_options& options,
    const version_move& move,
    const std::vector<version_evidence>& evidence,
    std::uint32_t target_upstreams,
    std::int64_t now_ms)
{
    version_move next = move;
    if (move.state != move_state::active)
        return next;
    next.reason = find_regression(options, evidence);
    if (!next.reason.empty())
    {
        next.state = move_state::reverted;
        next.share = 0;
        return next;
    }
    const double elapsed =
        static_cast<double>(now_ms - move.started_ms) /
        static_cast<double>(std::max<std::int64_t>(move.duration_ms, 1));
    std::uint64_t successes = 0;
    for (const version_evidence& each : evidence)
        successes += each.new_successes;
    std::uint32_t share = options.canary_share;
    if (elapsed >= options.full_share_at)
        share = full_share;
    else if (elapsed >= options.widen_at)
        share = options.widened_share;
    // The share is not raised before the target has answered successfully.
    if (successes < options.min_answers || target_upstreams == 0)
        share = options.canary_share;
    next.share = std::max(move.share, share);
    if (elapsed >= options.complete_at)
    {
        const bool has_full_share =
            next.share == full_share && target_upstreams > 0;
        next.state =
            has_full_share ? move_state::completed : move_state::reverted;
        next.reason = has_full_share         ? "nothing speaks against it"
                      : target_upstreams > 0 ? "no answers to judge by"
                                             : "no upstream of it is ready";
        if (!has_full_share)
            next.share = 0;
    }
    return next;
}

} // namespace bergamotusher::site
