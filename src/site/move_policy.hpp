// Decides the next step of a version move whose deadline is seconds away: the
// target's share of requests grows in steps, and the move is completed or
// reverted before its deadline, from the answers of both versions that all
// entries report.
//
// Moves that take minutes, with a bound on false verdicts, are in src/rollout.
#pragma once

#include "site/site_state.hpp"

#include <bergamotusher/time.hpp>

#include <map>
#include <string>
#include <vector>

namespace bergamotusher::site
{

struct move_options
{
    /// Share of requests, per mille, that the target gets first. The users
    /// allow at most 100 for a bad version.
    std::uint32_t canary_share = 70;
    std::uint32_t widened_share = 400;
    /// Fractions of the move's duration after which the share is raised.
    double widen_at = 0.42;
    double full_share_at = 0.62;
    /// Fraction of the duration at which the move is completed; by then
    /// requests that still ran on the old version have had time to end.
    double complete_at = 0.86;
    /// A target is bad if its failure rate exceeds that of the old version by
    /// more than this, over at least `min_answers` failures; on a single route
    /// by more than twice this. The share is raised only after `min_answers`
    /// successes.
    double failure_rate_margin = 0.08;
    std::uint64_t min_answers = 3;
    /// A target is also bad if its latency on a route exceeds the old version's
    /// by more than this ratio of geometric means. Needs `min_latency_samples`
    /// of both versions.
    double max_latency_ratio = 1.9;
    std::uint64_t min_latency_samples = 5;
    /// The same over all routes together, where each route is compared with
    /// itself: a small share of a short move has few answers on each route.
    /// The ratio must be larger by exp(`latency_spread` / sqrt(samples)).
    std::uint64_t min_pooled_samples = 6;
    double latency_spread = 1.0;
};

/// Answers of the old and the new version of a service on one route, summed
/// over the entries. Latency sums are of the logarithms of the latencies; a
/// request that ended before its answer began counts with the time until then.
struct version_evidence
{
    std::string route;
    std::uint64_t old_successes = 0;
    std::uint64_t old_failures = 0;
    double old_log_latency_sum = 0;
    std::uint64_t old_latency_samples = 0;
    std::uint64_t new_successes = 0;
    std::uint64_t new_failures = 0;
    double new_log_latency_sum = 0;
    std::uint64_t new_latency_samples = 0;
};

/// The state of `move` after this evaluation; equal to `move` if nothing
/// changes. `target_upstreams` is the number of ready upstreams of the target:
/// without any, answers that it gave earlier do not speak for it.
version_move advance(
    const move_options& options,
    const version_move& move,
    const std::vector<version_evidence>& evidence,
    std::uint32_t target_upstreams,
    std::int64_t now_ms);

} // namespace bergamotusher::site
