// Sequential tests of a new version against the old one.
//
// Each test is a CUSUM of log-likelihood ratios of "the new version is bad with
// rate p1" against "it is bad at most at the allowed rate". The allowed rate is
// derived from the old version's results over the same time, on the same route
// and under the same load. A score that reaches the threshold h rejects the
// version. With scores floored at zero, a version that is just at the allowed
// rate is rejected on average at most once in exp(h) requests for each
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

/// Score thresholds that end or hold a move, in nats, and minimum sample sizes.
struct test_policy
{
    /// The version is rolled back at this score.
    double reject_score = 10;
    /// Threshold for an upstream that carries the version's share alone.
    /// Higher, since its answers all depend on the same momentary load.
    double reject_single_carrier_score = 14;
    /// The share is not increased while a score is at least this high.
    double hold_score = 4;
    /// A slow version is rolled back only if this score, reached by enough of
    /// its upstreams, confirms the score of all upstreams together. The second
    /// value applies to many upstreams.
    double confirm_score = 6;
    double confirm_among_many_score = 1;
    /// With fewer crashes the version is not rolled back, whatever the score.
    double min_crashes_to_reject = 3;
    /// Requests that an upstream must have answered before its latency scores
    /// are used.
    std::uint64_t min_upstream_requests = 15;
    /// Answers of each version before their mean lengths are compared.
    double min_answers_for_length = 100;
    /// Allowed range of the ratio of mean answer lengths, new over old.
    double min_length_ratio = 0.5;
    double max_length_ratio = 2;
};

/// Exponentially decaying counts.
struct decaying_counts
{
    double requests = 0;
    double failures = 0;
    double crashes = 0;
};

/// Results of the old version on one route in one load band.
struct baseline_stats
{
    time_point updated;
    decaying_counts short_term;
    decaying_counts long_term;
    std::array<double, latency_buckets> first_token{};
    std::array<double, latency_buckets> token_gap{};
};

/// Route and load band; an empty route stands for all routes.
using stratum = std::pair<std::string, load_band>;

/// Number of answers and their total length.
struct length_sums
{
    double answers = 0;
    double tokens = 0;
};

/// Data for the comparison of two versions of one service. The baselines are
/// rebuilt within seconds after a change of leader; the test streams are kept
/// in the replicated state.
struct comparison
{
    std::map<stratum, baseline_stats> baselines;
    length_sums old_lengths;
    length_sums new_lengths;
    double crashes = 0;
};

/// Adds a sample of the old version to the baselines.
void add_old_sample(
    comparison& known, const evidence_sample& sample, time_point now);

/// Adds a sample of the new version to the tests.
void add_new_sample(
    comparison& known,
    std::vector<test_stream>& tests,
    const evidence_sample& sample);

/// Result of the tests.
struct verdict
{
    bool bad = false;
    /// Not bad, but a score is too high to increase the share.
    bool doubtful = false;
    /// A slow upstream, if no other upstream can confirm that the version is
    /// slow; else empty.
    upstream_id suspect;
    std::string reason;
};

/// Evaluates the tests. `carriers` is the number of upstreams that carry the
/// version's share; a slow upstream becomes a suspect only if it is the only
/// carrier, or one of two of which the other shows no sign of slowness.
verdict judge(
    const comparison& known,
    const std::vector<test_stream>& tests,
    std::size_t carriers,
    const test_policy& policy);

} // namespace bergamotusher::rollout
