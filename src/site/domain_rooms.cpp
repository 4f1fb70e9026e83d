#include "site/domain_rooms.hpp"

#include <algorithm>
#include <limits>

namespace bergamotusher::site
{

namespace
{

/// Requests per second that an upstream takes; infinite if nothing bounds it.
double rate_of(
    const upstream& value,
    const service_work& work,
    const std::map<upstream_id, double>& limits)
{
    double rate = std::numeric_limits<double>::infinity();
    if (value.slots > 0 && work.request_time_s > 0)
        rate = value.slots / work.request_time_s;
    if (work.prompt_bound_rate > 0)
        rate = std::min(rate, work.prompt_bound_rate);
    const auto limit = limits.find(value.id);
    return limit == limits.end() ? rate : std::min(rate, limit->second);
}

} // namespace

double
smoothed_request_time(double before, double running, double requests_per_s)
{
    // Fewer requests say little on the time of one.
    constexpr double min_rate = 5;
    constexpr double weight = 0.2;
    if (requests_per_s < min_rate || running <= 0)
        return before;
    const double seen = running / requests_per_s;
    return before <= 0 ? seen : before + weight * (seen - before);
}

std::vector<routing::domain_state> domain_rooms(
    const upstream_directory& directory,
    const service_name& service,
    const service_work& work,
    const std::set<failure_domain>& evacuated,
    const std::map<upstream_id, double>& limits,
    const std::set<upstream_id>& silent)
{
    std::map<failure_domain, routing::domain_state> states;
    for (const auto& [domain, arrivals] : work.arrivals)
        states[domain] = {domain, arrivals, 0};
    for (const auto& [id, each] : directory.upstreams)
    {
        if (!(each.value.service == service))
            continue;
        routing::domain_state& state = states[each.value.domain];
        state.domain = each.value.domain;
        if (each.value.state != upstream_state::ready ||
            evacuated.count(each.value.domain) > 0 || silent.count(id) > 0)
            continue;
        const double rate = rate_of(each.value, work, limits);
        if (rate == std::numeric_limits<double>::infinity())
            return {};
        state.capacity += rate;
    }
    std::vector<routing::domain_state> rooms;
    rooms.reserve(states.size());
    for (const auto& [domain, state] : states)
        rooms.push_back(state);
    return rooms;
}

} // namespace bergamotusher::site
