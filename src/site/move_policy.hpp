// How a version move of a few seconds goes on: a small share first, then more,
// and a verdict before the deadline, by what all entries saw of both versions.
//
// It answers for moves whose deadline is seconds away. Moves over minutes, with
// a bound on false verdicts, are those of src/rollout.
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
    /// Requests that the target gets first, per mille. The operators' bound
    /// for a bad version is 100.
    std::uint32_t first_share = 70;
    std::uint32_t second_share = 400;
    /// Parts of the move's time at which the shares grow.
    double second_from = 0.42;
    double last_from = 0.62;
    /// The part of the time at which it is completed, after what still runs
    /// at the old version has had time to end.
    double complete_at = 0.86;
    /// Failures beyond the old version's rate that tell a bad version, where
    /// so many answers at least were seen.
    double bad_rate = 0.08;
    std::uint64_t bad_least = 3;
    /// Latency against the old version's on the same route that tells a bad
    /// version, as a ratio of geometric means, and the answers it takes.
    double slow_ratio = 1.9;
    std::uint64_t slow_least = 5;
};

/// Both versions of a service on one route, summed over the entries.
struct version_evidence
{
    std::string route;
    std::uint64_t old_good = 0;
    std::uint64_t old_bad = 0;
    double old_log_sum = 0;
    std::uint64_t old_timed = 0;
    std::uint64_t new_good = 0;
    std::uint64_t new_bad = 0;
    double new_log_sum = 0;
    std::uint64_t new_timed = 0;
};

/// What the move becomes now; equal to `move` if nothing changes.
version_move advance(
    const move_options& options,
    const version_move& move,
    const std::vector<version_evidence>& evidence,
    std::int64_t now_ms);

} // namespace bergamotusher::site
