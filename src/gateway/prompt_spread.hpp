// What an entry believes of where the shared parts of prompts are kept, though
// it sees only its own share of the requests: many entries send prompts with
// the same parts to the same upstreams.
#pragma once

#include "gateway/prompt_cache.hpp"

#include <bergamotusher/time.hpp>

#include <cstdint>
#include <unordered_map>
#include <vector>

namespace bergamotusher::gateway
{

struct upstream_view;

struct spread_options
{
    /// Chance that the upstreams which stand first and second in the order of
    /// a subject keep it, though this entry never sent it there: the other
    /// entries compute the same order.
    double first_holder = 0.85;
    double second_holder = 0.35;
    /// How long the rate of a part is remembered.
    duration rate_memory = 10s;
    /// Parts whose rate is remembered, at most.
    std::size_t rates_max = 4096;
};

/// How often each part of prompts was asked for at this entry.
struct part_rates
{
    struct rate
    {
        /// Requests a second, as of `at`; fades by `rate_memory`.
        double per_second = 0;
        time_point at;
    };
    std::unordered_map<std::uint64_t, rate> by_id;
};

/// Notes a request with these parts.
void note_asked(
    const spread_options& options,
    part_rates& rates,
    const std::vector<prompt_part>& parts,
    time_point now);

/// The part that says what a prompt is about: the last shared one. Null if no
/// part is shared.
const prompt_part* subject_of(const std::vector<prompt_part>& parts);

/// The two upstreams that stand first in the order of a subject, among those
/// that take requests. All entries compute the same order.
struct holders
{
    const upstream_view* first = nullptr;
    const upstream_view* second = nullptr;
};

holders holders_of(
    const std::vector<upstream_view*>& upstreams, const prompt_part& subject);

/// What of the chances does not vary with the upstream, for one request.
struct spread_query
{
    const std::vector<prompt_part>* parts = nullptr;
    holders order;
    /// Requests a second for each part, at all entries, for one upstream.
    std::vector<double> rates;
};

spread_query make_query(
    const spread_options& options,
    const std::vector<upstream_view*>& upstreams,
    const std::vector<prompt_part>& parts,
    const part_rates* rates,
    std::uint32_t entries,
    time_point now);

/// Leading tokens of the request's prompt that the upstream is expected to
/// keep.
double kept_at(
    const spread_options& options,
    const spread_query& query,
    const upstream_view& view,
    time_point now);

} // namespace bergamotusher::gateway
