#include "observe/attempt_observation.hpp"

#include <algorithm>

namespace bergamotusher::observe
{

double slot_cost(const upstream& target, duration span)
{
    const double hours = to_seconds(span) / to_seconds(1h);
    const std::uint32_t slots = std::max<std::uint32_t>(1, target.slots);
    return target.price_per_hour * hours / slots;
}

std::optional<request_observed>
request_of(const attempt_observed& seen, const upstream* target)
{
    if (seen.failure)
        return std::nullopt;
    request_observed result;
    result.service = seen.key.service;
    // An engine's evidence is kept by class of work.
    result.work_class.value = seen.key.route;
    result.version = seen.key.version;
    result.first_token = seen.first_token;
    result.token_gap = seen.mean_gap;
    result.answered_tokens = seen.answered_tokens;
    result.recomputed_tokens = seen.recomputed_tokens;
    result.cached_tokens = seen.cached_tokens;
    if (!seen.first_token)
        return result;
    const std::uint32_t gaps = std::max<std::uint32_t>(1, seen.answered_tokens);
    result.total = *seen.first_token + seen.mean_gap.value_or(0us) * (gaps - 1);
    if (target != nullptr)
        result.cost = slot_cost(*target, *result.total);
    return result;
}

} // namespace bergamotusher::observe
