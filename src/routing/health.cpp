#include "routing/health.hpp"

#include <algorithm>

namespace bergamotusher::routing
{

namespace
{

constexpr std::uint32_t failures_to_eject = 3;
constexpr std::uint32_t probes_to_readmit = 3;
/// Mean slowness at which an upstream is ejected.
constexpr double slowness_to_eject = 2;
/// Minimum number of samples before an upstream is ejected as slow.
constexpr std::uint32_t min_samples_to_eject = 5;
constexpr double answer_weight = 0.2;
/// Lower than `answer_weight`: load reports are less precise than answers.
constexpr double load_report_weight = 0.1;
constexpr duration first_ejection = 5s;
constexpr std::uint32_t max_doublings = 4;

void eject(health_record& record, time_point now)
{
    const std::uint32_t doublings =
        std::min(record.recent_ejections, max_doublings);
    record.state = health_state::ejected;
    record.ejected_until = now + first_ejection * (1U << doublings);
    ++record.recent_ejections;
    record.successful_probes = 0;
}

void record_successful_probe(health_record& record)
{
    record.state = health_state::probation;
    if (++record.successful_probes < probes_to_readmit)
        return;
    record.state = health_state::healthy;
    record.mean_slowness = 1;
    record.samples = 0;
    record.successful_probes = 0;
}

/// Adds a sample to the mean slowness of a healthy upstream, and ejects it if
/// the mean is too high.
void add_slowness_sample(
    health_record& record, double ratio, double weight, time_point now)
{
    record.mean_slowness += weight * (ratio - record.mean_slowness);
    if (++record.samples >= min_samples_to_eject &&
        record.mean_slowness >= slowness_to_eject)
        eject(record, now);
    else if (record.samples >= 20 * min_samples_to_eject)
        record.recent_ejections = 0;
}

} // namespace

health_state state_at(const health_record& record, time_point now)
{
    if (record.state == health_state::ejected && now >= record.ejected_until)
        return health_state::probation;
    return record.state;
}

void record_failure(health_record& record, time_point now)
{
    ++record.failures;
    ++record.consecutive_failures;
    const health_state state = state_at(record, now);
    if (state == health_state::ejected)
        return;
    if (state == health_state::probation ||
        record.consecutive_failures >= failures_to_eject)
        eject(record, now);
}

void record_success(health_record& record, double ratio, time_point now)
{
    record.consecutive_failures = 0;
    const health_state state = state_at(record, now);
    if (state == health_state::ejected)
        return;
    if (state == health_state::probation)
    {
        if (ratio >= slowness_to_eject)
            eject(record, now);
        else
            record_successful_probe(record);
        return;
    }
    add_slowness_sample(record, ratio, answer_weight, now);
}

void record_reported_slowness(
    health_record& record, double ratio, time_point now)
{
    if (state_at(record, now) == health_state::healthy)
        add_slowness_sample(record, ratio, load_report_weight, now);
}

} // namespace bergamotusher::routing
