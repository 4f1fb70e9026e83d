#include "gateway/prompt_spread.hpp"

#include "base/hash.hpp"
#include "gateway/placement.hpp"

#include <algorithm>
#include <cmath>

namespace bergamotusher::gateway
{

namespace
{

double faded_rate(
    const spread_options& options, const part_rates::rate& rate, time_point now)
{
    const double age = to_seconds(now - rate.at);
    return rate.per_second *
           std::exp(-std::max(age, 0.0) / to_seconds(options.rate_memory));
}

void forget_rare(
    const spread_options& options, part_rates& rates, time_point now)
{
    // Half of one request within the memory.
    const double rare = 0.5 / to_seconds(options.rate_memory);
    for (auto i = rates.by_id.begin(); i != rates.by_id.end();)
        i = faded_rate(options, i->second, now) < rare ? rates.by_id.erase(i)
                                                       : std::next(i);
    // All are frequent: the map starts anew rather than grow without bound.
    if (rates.by_id.size() >= options.rates_max)
        rates.by_id.clear();
}

bool takes_requests(const upstream_view& view)
{
    return view.value.state == site::upstream_state::ready && !view.is_silent;
}

/// Chance that the upstream keeps a shared part.
double chance_of(
    const spread_options& options,
    const spread_query& query,
    std::size_t part,
    const upstream_view& view,
    time_point now)
{
    const std::vector<prompt_part>& parts = *query.parts;
    if (keeps(view.cache, parts[part].id, now))
        return 1;
    const double seconds =
        to_seconds(std::min(part_residence, now - view.known_since));
    const double by_rate = 1 - std::exp(-query.rates[part] * seconds);
    const bool is_subject = part + 2 == parts.size();
    if (is_subject && &view == query.order.first)
        return std::max(by_rate, options.first_holder);
    if (is_subject && &view == query.order.second)
        return std::max(by_rate, options.second_holder);
    return by_rate;
}

} // namespace

void note_asked(
    const spread_options& options,
    part_rates& rates,
    const std::vector<prompt_part>& parts,
    time_point now)
{
    if (parts.size() < 2)
        return;
    if (rates.by_id.size() >= options.rates_max)
        forget_rare(options, rates, now);
    for (std::size_t i = 0; i + 1 < parts.size(); ++i)
    {
        part_rates::rate& rate = rates.by_id[parts[i].id];
        rate.per_second = faded_rate(options, rate, now) +
                          1 / to_seconds(options.rate_memory);
        rate.at = now;
    }
}

const prompt_part* subject_of(const std::vector<prompt_part>& parts)
{
    return parts.size() < 2 ? nullptr : &parts[parts.size() - 2];
}

holders holders_of(
    const std::vector<upstream_view*>& upstreams, const prompt_part& subject)
{
    holders found;
    std::uint64_t best = 0;
    std::uint64_t next = 0;
    for (const upstream_view* each : upstreams)
    {
        if (!takes_requests(*each))
            continue;
        const std::uint64_t rank = mixed_hash(each->id_hash, subject.id);
        if (found.first == nullptr || rank > best)
        {
            found.second = found.first;
            next = best;
            found.first = each;
            best = rank;
        }
        else if (found.second == nullptr || rank > next)
        {
            found.second = each;
            next = rank;
        }
    }
    return found;
}

spread_query make_query(
    const spread_options& options,
    const std::vector<upstream_view*>& upstreams,
    const std::vector<prompt_part>& parts,
    const part_rates* rates,
    std::uint32_t entries,
    time_point now)
{
    spread_query query;
    query.parts = &parts;
    if (const prompt_part* subject = subject_of(parts))
        query.order = holders_of(upstreams, *subject);
    const double share =
        static_cast<double>(entries) /
        static_cast<double>(std::max<std::size_t>(upstreams.size(), 1));
    for (const prompt_part& each : parts)
    {
        double rate = 0;
        if (rates != nullptr)
        {
            const auto found = rates->by_id.find(each.id);
            if (found != rates->by_id.end())
                rate = faded_rate(options, found->second, now);
        }
        query.rates.push_back(rate * share);
    }
    return query;
}

double kept_at(
    const spread_options& options,
    const spread_query& query,
    const upstream_view& view,
    time_point now)
{
    const std::vector<prompt_part>& parts = *query.parts;
    if (parts.empty())
        return 0;
    double kept = 0;
    double chance = 1;
    if (parts.size() > 1)
    {
        const std::size_t subject = parts.size() - 2;
        const double of_subject = chance_of(options, query, subject, view, now);
        // Whatever is kept, all before it is kept too.
        for (std::size_t i = 0; i < subject; ++i)
        {
            chance = std::max(
                chance * chance_of(options, query, i, view, now), of_subject);
            kept += chance * static_cast<double>(parts[i].tokens);
        }
        chance = of_subject;
        kept += chance * static_cast<double>(parts[subject].tokens);
    }
    // The last part is the request's own: nobody else sent it.
    if (keeps(view.cache, parts.back().id, now))
        kept += chance * static_cast<double>(parts.back().tokens);
    return kept;
}

} // namespace bergamotusher::gateway
