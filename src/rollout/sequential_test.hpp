// Sequential tests of a new version against the old one.
//
// Each test is a CUSUM of log-likelihood ratios: "the new version is bad with
// rate p1" against "it is bad at most as often as allowed", where the allowed
// rate follows what the old version shows over the same time, on the same
// route and under the same load. A score that reaches the threshold h rejects
// the version. With scores floored at zero, a version that is just at the
// allowed rate is rejected on average at most once in exp(h) requests for each
// alternative, and a better one far less often.
#pragma once

#include <bergamotusher/evidence.hpp>
#include <bergamotusher/time.hpp>
#include <bergamotusher/version_move.hpp>

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace bergamotusher::rollout
{

/// Scores that end or hold a move, in nats.
struct test_policy
{
    /// A score of `reject` takes the version back.
    double reject = 10;
    /// A score of `hold` stops the widening until it falls.
    double hold = 4;
    /// Upstreams with this score confirm that all together are slow: among
    /// few, and among many.
    double confirm = 6;
    double confirm_among_many = 1;
    /// Fewer crashes than this never reject, whatever the score.
    double least_crashes = 3;
    /// Requests that one upstream must have answered to have a say.
    std::uint64_t upstream_requests = 15;
    /// Answers of each version before their lengths are compared.
    double length_answers = 100;
    /// The least and the largest ratio of mean answer lengths.
    double shortest = 0.5;
    double longest = 2;
};

/// Counts that fade out.
struct fading_counts
{
    double requests = 0;
    double failures = 0;
    double crashes = 0;
};

/// What the old version shows on one route in one load band.
struct reference
{
    time_point updated;
    fading_counts recent;
    fading_counts longer;
    std::array<double, latency_buckets> first_token{};
    std::array<double, latency_buckets> token_gap{};
};

/// Route and load band; an empty route is all routes.
using stratum = std::pair<std::string, load_band>;

/// Sums of answer lengths.
struct length_sums
{
    double answers = 0;
    double tokens = 0;
};

/// Everything known of two versions of one service. The references are
/// rebuilt within seconds; the streams belong into the replicated state.
struct comparison
{
    std::map<stratum, reference> references;
    length_sums old_lengths;
    length_sums new_lengths;
    double crashes = 0;
};

/// Adds what the old version showed.
void absorb_old(
    comparison& known, const evidence_sample& sample, time_point now);

/// Adds what the new version showed to the tests.
void absorb_new(
    comparison& known,
    std::vector<test_stream>& tests,
    const evidence_sample& sample);

/// What the tests say.
struct verdict
{
    bool bad = false;
    /// Not bad, but too doubtful to widen.
    bool doubtful = false;
    /// An upstream that is slow, with no other one to confirm it.
    upstream_id suspect;
    std::string reason;
};

/// Judges the version by its tests. `carriers` upstreams carry its share; one
/// that is slow is a suspect only if it is the only one.
verdict judge(
    const comparison& known,
    const std::vector<test_stream>& tests,
    std::size_t carriers,
    const test_policy& policy);

} // namespace bergamotusher::rollout
