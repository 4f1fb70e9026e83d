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

std::optional<request_observed> make_request_observation(
    const attempt_observed& attempt, const upstream* target)
{
    if (attempt.failure)
        return std::nullopt;
    request_observed result;
    result.service = attempt.key.service;
    // For model engines, the route of the attempt key is the class of work.
    result.work_class.value = attempt.key.route;
    result.version = attempt.key.version;
    result.first_token = attempt.first_token;
    result.token_gap = attempt.mean_gap;
    result.answered_tokens = attempt.answered_tokens;
    result.recomputed_tokens = attempt.recomputed_tokens;
    result.cached_tokens = attempt.cached_tokens;
    if (!attempt.first_token)
        return result;
    const std::uint32_t token_count =
        std::max<std::uint32_t>(1, attempt.answered_tokens);
    result.total = *attempt.first_token +
                   attempt.mean_gap.value_or(0us) * (token_count - 1);
    if (target != nullptr)
        result.cost = slot_cost(*target, *result.total);
    return result;
}

} // namespace bergamotusher::observe
