#include "routing/health.hpp"

#include <algorithm>

namespace bergamotusher::routing
{

namespace
{

constexpr std::uint32_t failures_to_eject = 3;
constexpr std::uint32_t probes_to_return = 3;
/// Slower than expected by this factor ejects.
constexpr double slowness_to_eject = 2;
/// No upstream is called slow on fewer answers.
constexpr std::uint32_t samples_to_judge = 5;
constexpr double slowness_weight = 0.2;
/// A load report is a coarser measure than an answer.
constexpr double pace_weight = 0.1;
constexpr duration first_ejection = 5s;
constexpr std::uint32_t most_doublings = 4;

void eject(health_record& record, time_point now)
{
    const std::uint32_t doublings = std::min(record.ejections, most_doublings);
    record.state = health_state::ejected;
    record.ejected_until = now + first_ejection * (1U << doublings);
    ++record.ejections;
    record.good_probes = 0;
}

void note_good_probe(health_record& record)
{
    record.state = health_state::probation;
    if (++record.good_probes < probes_to_return)
        return;
    record.state = health_state::healthy;
    record.slowness = 1;
    record.samples = 0;
    record.good_probes = 0;
}

/// Takes one comparison of a healthy upstream into its mean.
void judge(health_record& record, double ratio, double weight, time_point now)
{
    record.slowness += weight * (ratio - record.slowness);
    if (++record.samples >= samples_to_judge &&
        record.slowness >= slowness_to_eject)
        eject(record, now);
    else if (record.samples >= 20 * samples_to_judge)
        record.ejections = 0;
}

} // namespace

health_state state_at(const health_record& record, time_point now)
{
    if (record.state == health_state::ejected && now >= record.ejected_until)
        return health_state::probation;
    return record.state;
}

void note_failure(health_record& record, time_point now)
{
    ++record.failures;
    ++record.failures_in_a_row;
    const health_state state = state_at(record, now);
    if (state == health_state::ejected)
        return;
    if (state == health_state::probation ||
        record.failures_in_a_row >= failures_to_eject)
        eject(record, now);
}

void note_success(health_record& record, double ratio, time_point now)
{
    record.failures_in_a_row = 0;
    const health_state state = state_at(record, now);
    if (state == health_state::ejected)
        return;
    if (state == health_state::probation)
    {
        if (ratio >= slowness_to_eject)
            eject(record, now);
        else
            note_good_probe(record);
        return;
    }
    judge(record, ratio, slowness_weight, now);
}

void note_pace(health_record& record, double ratio, time_point now)
{
    if (state_at(record, now) == health_state::healthy)
        judge(record, ratio, pace_weight, now);
}

} // namespace bergamotusher::routing
