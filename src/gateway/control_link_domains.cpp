// The part of the control link on failure domains: those that are evacuated,
// and how much may leave the entry's own.
#include "base/clock.hpp"
#include "gateway/control_link.hpp"
#include "site/evacuation_log.hpp"
#include "site/site_codec.hpp"
#include "wire/site.pb.h"

namespace bergamotusher::gateway
{

namespace pb = wire::site;
using observe::decision;
using observe::log_line;

void control_link::install_evacuations(
    const node_id& from, const pb::control_report& report, time_point now)
{
    const site::evacuations before = view_.evacuated;
    if (!adopt_evacuations(
            view_,
            site::read_evacuations(
                report.evacuated_domains(), report.evacuation_revision()),
            now))
        return;
    log_evacuations(log_, view_.evacuated, before, from.value, now);
    relay_.on_upstreams_changed();
}

void control_link::read_rooms(const pb::control_report& report, time_point now)
{
    std::map<service_name, std::vector<routing::domain_state>> rooms;
    for (const pb::domain_room& each : report.rooms())
        rooms[{each.service()}].push_back(
            {{each.domain()}, each.arrival_rate(), each.capacity()});
    for (auto& [service, domains] : rooms)
        routing::record_domains(
            view_.exchanges[service], std::move(domains), now);
}

void control_link::step_exchanges(time_point now)
{
    for (auto& [service, exchange] : view_.exchanges)
        for (const routing::share_change& each : routing::step_shares(
                 options_.exchange, exchange, options_.domain, now))
            log_.write(
                log_line(decision::share_changed)
                    .with("service", service.value)
                    .with("to", each.to.value)
                    .with("before", each.before)
                    .with("share", each.share),
                now);
}

} // namespace bergamotusher::gateway
