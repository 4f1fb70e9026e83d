#include "gateway/cache_prediction.hpp"

#include "base/hash.hpp"
#include "gateway/placement.hpp"

#include <algorithm>
#include <cmath>

namespace bergamotusher::gateway
{

namespace
{

double decayed_rate(
    const cache_prediction_options& options,
    const part_request_rates::rate& rate,
    time_point now)
{
    const double age = to_seconds(now - rate.updated_at);
    return rate.per_second *
           std::exp(-std::max(age, 0.0) / to_seconds(options.rate_decay_time));
}

void evict_rare_parts(
    const cache_prediction_options& options,
    part_request_rates& rates,
    time_point now)
{
    // Half a request within the decay time.
    const double min_rate = 0.5 / to_seconds(options.rate_decay_time);
    for (auto i = rates.by_id.begin(); i != rates.by_id.end();)
        i = decayed_rate(options, i->second, now) < min_rate
                ? rates.by_id.erase(i)
                : std::next(i);
    // If all parts are frequent, the map is cleared rather than let grow
    // without bound.
    if (rates.by_id.size() >= options.tracked_parts_max)
        rates.by_id.clear();
}

bool accepts_requests(const upstream_view& view)
{
    return view.value.state == site::upstream_state::ready && !view.is_silent;
}

/// Probability that the upstream has a shared part in its cache.
double cached_probability(
    const cache_prediction_options& options,
    const cache_query& query,
    std::size_t part,
    const upstream_view& view,
    time_point now)
{
    const std::vector<prompt_part>& parts = *query.parts;
    if (is_cached(view.cache, parts[part].id, now))
        return 1;
    const double seconds =
        to_seconds(std::min(cache_residence_time, now - view.known_since));
    const double rate_probability = 1 - std::exp(-query.rates[part] * seconds);
    const bool is_last_shared = part + 2 == parts.size();
    if (is_last_shared && &view == query.preferred.first)
        return std::max(rate_probability, options.first_preferred_probability);
    if (is_last_shared && &view == query.preferred.second)
        return std::max(rate_probability, options.second_preferred_probability);
    return rate_probability;
}

} // namespace

void record_parts(
    const cache_prediction_options& options,
    part_request_rates& rates,
    const std::vector<prompt_part>& parts,
    time_point now)
{
    if (parts.size() < 2)
        return;
    if (rates.by_id.size() >= options.tracked_parts_max)
        evict_rare_parts(options, rates, now);
    for (std::size_t i = 0; i + 1 < parts.size(); ++i)
    {
        part_request_rates::rate& rate = rates.by_id[parts[i].id];
        rate.per_second = decayed_rate(options, rate, now) +
                          1 / to_seconds(options.rate_decay_time);
        rate.updated_at = now;
    }
}

const prompt_part* last_shared_part(const std::vector<prompt_part>& parts)
{
    return parts.size() < 2 ? nullptr : &parts[parts.size() - 2];
}

preferred_upstreams find_preferred_upstreams(
    const std::vector<upstream_view*>& upstreams, const prompt_part& part)
{
    preferred_upstreams found;
    std::uint64_t first_rank = 0;
    std::uint64_t second_rank = 0;
    for (const upstream_view* each : upstreams)
    {
        if (!accepts_requests(*each))
            continue;
        const std::uint64_t rank = mixed_hash(each->id_hash, part.id);
        if (found.first == nullptr || rank > first_rank)
        {
            found.second = found.first;
            second_rank = first_rank;
            found.first = each;
            first_rank = rank;
        }
        else if (found.second == nullptr || rank > second_rank)
        {
            found.second = each;
            second_rank = rank;
        }
    }
    return found;
}

cache_query make_cache_query(
    const cache_prediction_options& options,
    const std::vector<upstream_view*>& upstreams,
    const std::vector<prompt_part>& parts,
    const part_request_rates* rates,
    std::uint32_t entries,
    time_point now)
{
    cache_query query;
    query.parts = &parts;
    if (const prompt_part* shared = last_shared_part(parts))
        query.preferred = find_preferred_upstreams(upstreams, *shared);
    const double entries_per_upstream =
        static_cast<double>(entries) /
        static_cast<double>(std::max<std::size_t>(upstreams.size(), 1));
    for (const prompt_part& each : parts)
    {
        double rate = 0;
        if (rates != nullptr)
        {
            const auto found = rates->by_id.find(each.id);
            if (found != rates->by_id.end())
                rate = decayed_rate(options, found->second, now);
        }
        query.rates.push_back(rate * entries_per_upstream);
    }
    return query;
}

double expected_cached_tokens(
    const cache_prediction_options& options,
    const cache_query& query,
    const upstream_view& view,
    time_point now)
{
    const std::vector<prompt_part>& parts = *query.parts;
    if (parts.empty())
        return 0;
    double cached_tokens = 0;
    double probability = 1;
    if (parts.size() > 1)
    {
        const std::size_t last_shared = parts.size() - 2;
        const double last_shared_probability =
            cached_probability(options, query, last_shared, view, now);
        // A cached part implies that all parts before it are cached.
        for (std::size_t i = 0; i < last_shared; ++i)
        {
            probability = std::max(
                probability * cached_probability(options, query, i, view, now),
                last_shared_probability);
            cached_tokens += probability * static_cast<double>(parts[i].tokens);
        }
        probability = last_shared_probability;
        cached_tokens +=
            probability * static_cast<double>(parts[last_shared].tokens);
    }
    // The last part is the request's own, so no other entry can have sent it.
    if (is_cached(view.cache, parts.back().id, now))
        cached_tokens += probability * static_cast<double>(parts.back().tokens);
    return cached_tokens;
}

} // namespace bergamotusher::gateway
