#include "routing/domain_exchange.hpp"

#include <algorithm>
#include <cmath>

namespace bergamotusher::routing
{

namespace
{

double usable(const exchange_options& options, const domain_state& domain)
{
    return options.usable_capacity * domain.capacity;
}

double excess(const exchange_options& options, const domain_state& domain)
{
    return std::max(domain.arrival_rate - usable(options, domain), 0.0);
}

double room(const exchange_options& options, const domain_state& domain)
{
    return std::max(usable(options, domain) - domain.arrival_rate, 0.0);
}

double next_share(const exchange_options& options, double share, double target)
{
    const double difference = target - share;
    // The ends are reached exactly.
    const bool is_end = target <= 0 || target >= 1;
    if (std::abs(difference) < options.min_change && !is_end)
        return share;
    return share + std::clamp(difference, -options.step, options.step);
}

} // namespace

double transfer_cost_ms(const transfer_terms& terms)
{
    constexpr double bytes_per_mb = 1e6;
    return terms.distance_ms + terms.price_ms_per_mb *
                                   (terms.bytes_sent + terms.bytes_received) /
                                   bytes_per_mb;
}

leaving_shares target_shares(
    const exchange_options& options,
    const std::vector<domain_state>& domains,
    const failure_domain& own)
{
    const auto self = std::find_if(
        domains.begin(),
        domains.end(),
        [&](const domain_state& each) { return each.domain == own; });
    if (self == domains.end())
        return {};
    double all_arrivals = 0;
    double all_excess = 0;
    double all_room = 0;
    for (const domain_state& each : domains)
    {
        all_arrivals += each.arrival_rate;
        all_excess += excess(options, each);
        all_room += room(options, each);
    }
    const double own_excess = excess(options, *self);
    leaving_shares shares;
    for (const domain_state& each : domains)
    {
        if (each.domain == own)
            continue;
        const double free = room(options, each);
        if (free <= 0 || self->arrival_rate <= 0)
        {
            shares[each.domain] = free > 0 ? 1 : 0;
            continue;
        }
        const double wanted_part =
            all_excess > 0 ? std::min(1.0, all_excess / all_room) : 0;
        const double needed =
            all_excess > 0 ? free * wanted_part * own_excess / all_excess : 0;
        const double spare = free * (1 - wanted_part) * self->arrival_rate /
                             (all_arrivals - each.arrival_rate);
        shares[each.domain] =
            std::clamp((needed + spare) / self->arrival_rate, 0.0, 1.0);
    }
    return shares;
}

void record_domains(
    exchange_state& state, std::vector<domain_state> domains, time_point now)
{
    state.domains = std::move(domains);
    state.heard_at = now;
}

std::vector<share_change> step_shares(
    const exchange_options& options,
    exchange_state& state,
    const failure_domain& own,
    time_point now)
{
    if (!state.heard_at || now - *state.heard_at > options.max_age)
    {
        state.shares.clear();
        return {};
    }
    if (now - state.stepped_at < options.step_interval)
        return {};
    state.stepped_at = now;
    const leaving_shares targets = target_shares(options, state.domains, own);
    std::erase_if(
        state.shares,
        [&](const auto& each) { return targets.count(each.first) == 0; });
    std::vector<share_change> changes;
    for (const auto& [domain, target] : targets)
    {
        double& share = state.shares.emplace(domain, 1).first->second;
        const double next = next_share(options, share, target);
        if (next != share)
            changes.push_back({domain, share, next});
        share = next;
    }
    return changes;
}

void record_sent(
    const exchange_options& options,
    exchange_state& state,
    const failure_domain& to,
    time_point now)
{
    const double kept = std::exp(
        -to_seconds(now - state.sent_at) / to_seconds(options.use_decay_time));
    state.sent_at = now;
    state.sent = state.sent * kept + 1;
    for (auto& [domain, sent] : state.sent_to)
        sent *= kept;
    ++state.sent_to[to];
}

double surcharge_ms(
    const exchange_options& options,
    const exchange_state& state,
    const failure_domain& to,
    double transfer_ms)
{
    const auto share = state.shares.find(to);
    if (share == state.shares.end() || share->second >= 1)
        return transfer_ms;
    const auto sent = state.sent_to.find(to);
    const double used = sent == state.sent_to.end() ? 0 : sent->second;
    // Rounding up lets an entry with few requests use its share at all.
    const bool is_within =
        share->second > 0 && used < std::ceil(share->second * (state.sent + 1));
    return is_within ? transfer_ms : options.beyond_share_factor * transfer_ms;
}

} // namespace bergamotusher::routing
