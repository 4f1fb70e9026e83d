#include "gateway/drain_schedule.hpp"

#include <algorithm>

namespace bergamotusher::gateway
{

namespace
{

constexpr double accepting_fraction = 0.36;
/// The process ends this long before the end of the grace time, and answers
/// what is open this long before it ends; fractions of a short grace time.
constexpr duration max_ending_margin = 300ms;
constexpr duration max_answering_margin = 200ms;
constexpr double ending_margin_fraction = 0.15;
constexpr double answering_margin_fraction = 0.1;

duration fraction_of(duration span, double fraction)
{
    return from_seconds(to_seconds(span) * fraction);
}

} // namespace

drain_schedule schedule_drain(duration grace)
{
    drain_schedule steps;
    steps.accepting = fraction_of(grace, accepting_fraction);
    steps.ending =
        grace -
        std::min(max_ending_margin, fraction_of(grace, ending_margin_fraction));
    steps.answering =
        steps.ending - std::min(
                           max_answering_margin,
                           fraction_of(grace, answering_margin_fraction));
    return steps;
}

} // namespace bergamotusher::gateway
