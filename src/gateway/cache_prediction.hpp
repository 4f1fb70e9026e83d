// Predicts which upstreams have the shared parts of a prompt in their cache. An
// entry sees only its own requests, but other entries send prompts with the
// same parts to the same upstreams.
#pragma once

#include "gateway/prompt_cache.hpp"

#include <bergamotusher/time.hpp>

#include <cstdint>
#include <unordered_map>
#include <vector>

namespace bergamotusher::gateway
{

struct upstream_view;

struct cache_prediction_options
{
    /// Probability that the first and the second preferred upstream of a part
    /// have it in their cache, even if this entry never sent it there: the
    /// other entries compute the same preference.
    double first_preferred_probability = 0.85;
    double second_preferred_probability = 0.35;
    /// Time constant of the exponential decay of a part's request rate.
    duration rate_decay_time = 10s;
    /// Maximum number of parts whose rate is tracked.
    std::size_t tracked_parts_max = 4096;
};

/// Request rate of each prompt part at this entry.
struct part_request_rates
{
    struct rate
    {
        /// Requests per second, as of `updated_at`; decays with
        /// `rate_decay_time`.
        double per_second = 0;
        time_point updated_at;
    };
    std::unordered_map<std::uint64_t, rate> by_id;
};

/// Adds a request with these parts to the rates.
void record_parts(
    const cache_prediction_options& options,
    part_request_rates& rates,
    const std::vector<prompt_part>& parts,
    time_point now);

/// The last part that other requests can share: all but the request's own last
/// part. Null if no part is shared.
const prompt_part* last_shared_part(const std::vector<prompt_part>& parts);

/// The two upstreams that rank first for a shared part by rendezvous hashing,
/// among those that accept requests. All entries compute the same ranking.
struct preferred_upstreams
{
    const upstream_view* first = nullptr;
    const upstream_view* second = nullptr;
};

preferred_upstreams find_preferred_upstreams(
    const std::vector<upstream_view*>& upstreams, const prompt_part& part);

/// The inputs of the prediction that are the same for all upstreams, for one
/// request.
struct cache_query
{
    const std::vector<prompt_part>* parts = nullptr;
    preferred_upstreams preferred;
    /// Requests per second for each part, estimated for one upstream over all
    /// entries.
    std::vector<double> rates;
};

cache_query make_cache_query(
    const cache_prediction_options& options,
    const std::vector<upstream_view*>& upstreams,
    const std::vector<prompt_part>& parts,
    const part_request_rates* rates,
    std::uint32_t entries,
    time_point now);

/// Expected number of leading prompt tokens that the upstream has in its cache.
double expected_cached_tokens(
    const cache_prediction_options& options,
    const cache_query& query,
    const upstream_view& view,
    time_point now);

} // namespace bergamotusher::gateway
