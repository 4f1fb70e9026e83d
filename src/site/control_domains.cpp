// The part of the control service on failure domains: evacuations, and what the
// upstreams of each domain have left.
#include "base/clock.hpp"
#include "site/control_service.hpp"
#include "site/domain_rooms.hpp"
#include "site/entry_load.hpp"

#include <algorithm>

namespace bergamotusher::site
{

namespace
{

/// Interval between two computations of the rooms of failure domains.
constexpr duration rooms_interval = 500ms;

} // namespace

void control_service::set_evacuation(
    const failure_domain& domain, bool is_evacuated, change_callback done)
{
    const auto answer = logged(
        is_evacuated ? "evacuation" : "end of an evacuation",
        site_->version,
        std::move(done));
    const auto refuse = [&](error_kind kind, std::string detail)
    {
        answer(
            command_outcome{failure{kind, std::move(detail)}, site_->version});
    };
    if (domain.empty() || domain.value.size() > max_domain_name_size)
        return refuse(
            error_kind::malformed_request,
            "the name of a failure domain has " +
                std::to_string(domain.value.size()) + " bytes, 1 to " +
                std::to_string(max_domain_name_size) + " are allowed");
    if (!is_known_domain(domain))
        return refuse(
            error_kind::unknown_resource,
            "no failure domain is named \"" + domain.value + "\"");
    // Not answered from this node's state, which may be older than an order
    // that another node has acknowledged.
    propose_change(
        encode_set_evacuation(domain, is_evacuated, time_of_day()), answer);
}

bool control_service::is_known_domain(const failure_domain& domain) const
{
    return options_.domains.count(domain) > 0 ||
           site_->evacuated.domains.count(domain) > 0 ||
           std::any_of(
               entries_.begin(),
               entries_.end(),
               [&](const auto& each)
               { return each.second.domain == domain; }) ||
           std::any_of(
               directory_.upstreams.begin(),
               directory_.upstreams.end(),
               [&](const auto& each)
               { return each.second.value.domain == domain; });
}

void control_service::update_rooms(time_point now)
{
    if (!options_.shares_domains || now < next_rooms_at_ || !site_->current)
        return;
    next_rooms_at_ = now + rooms_interval;
    rooms_.clear();
    for (const service& each : site_->current->value.services)
        if (auto rooms = rooms_of(each.name, now); !rooms.empty())
            rooms_[each.name] = std::move(rooms);
}

std::vector<routing::domain_state>
control_service::rooms_of(const service_name& name, time_point now)
{
    service_work work;
    double running = 0;
    double sent = 0;
    double prompt_tokens = 0;
    for (const auto& [source, load] : entry_loads_)
    {
        const auto found = load->demands.find(name);
        const auto entry = entries_.find(source.entry);
        if (found == load->demands.end() || entry == entries_.end() ||
            now - load->reported_at > options_.entry_timeout)
            continue;
        work.arrivals[entry->second.domain] += found->second.arrival_rate;
        running += found->second.running;
        sent += found->second.request_rate;
        prompt_tokens += found->second.prompt_tokens;
    }
    double& time = request_times_[name];
    time = smoothed_request_time(time, running, sent);
    work.request_time_s = time;
    const auto speed = prefill_speeds_.find(name);
    constexpr double ms_per_s = 1000;
    if (speed != prefill_speeds_.end() && prompt_tokens > 0 && sent > 0)
        work.prompt_bound_rate =
            speed->second.tokens_per_ms * ms_per_s * sent / prompt_tokens;
    std::map<upstream_id, double> limits;
    for (const auto& [id, upstream] : directory_.upstreams)
        if (const auto limit =
                limit_of(upstream_limits_, id, upstream.value.started_ms))
            limits[id] = *limit;
    return domain_rooms(
        directory_,
        name,
        work,
        site_->evacuated.domains,
        limits,
        {silent_upstreams_.begin(), silent_upstreams_.end()});
}

} // namespace bergamotusher::site
