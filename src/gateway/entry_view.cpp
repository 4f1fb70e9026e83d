#include "gateway/entry_view.hpp"

#include "base/hash.hpp"
#include "site/move_history.hpp"

#include <algorithm>

namespace bergamotusher::gateway
{

namespace
{

/// Upstreams of the version in force or, where it has none, of all versions
/// that no move has tried.
std::vector<upstream_view*> select_old_version(
    const site::version_move& move,
    const std::vector<upstream_view*>& upstreams)
{
    std::vector<upstream_view*> in_force;
    std::vector<upstream_view*> untried;
    for (upstream_view* each : upstreams)
    {
        const version_name& version = each->value.version;
        if (site::is_in_force(move, version))
            in_force.push_back(each);
        else if (version != move.target && !site::is_rejected(move, version))
            untried.push_back(each);
    }
    return in_force.empty() ? untried : in_force;
}

} // namespace

std::vector<std::string> sync_upstreams(entry_view& view, time_point now)
{
    std::set<std::string> current_addresses;
    std::set<std::string> previous_addresses;
    for (const auto& [id, each] : view.upstreams)
        previous_addresses.insert(each->value.address);
    for (auto i = view.upstreams.begin(); i != view.upstreams.end();)
    {
        const auto found = view.directory.upstreams.find(i->first);
        const bool still_listed =
            found != view.directory.upstreams.end() &&
            found->second.value.state != site::upstream_state::gone;
        i = still_listed ? std::next(i) : view.upstreams.erase(i);
    }
    // Statements on upstreams that the directory does not list are kept: the
    // limit may be heard of before the upstream.
    view.by_service.clear();
    for (const auto& [id, each] : view.directory.upstreams)
    {
        if (each.value.state == site::upstream_state::gone)
            continue;
        std::unique_ptr<upstream_view>& known_upstream = view.upstreams[id];
        // A restarted upstream has lost its cache and its load, so what was
        // recorded about the previous incarnation is discarded.
        if (!known_upstream ||
            known_upstream->value.started_ms != each.value.started_ms)
        {
            known_upstream = std::make_unique<upstream_view>();
            known_upstream->known_since = now;
        }
        known_upstream->value = each.value;
        known_upstream->id_hash = hash_of(id.value);
        const site::service* service =
            view.site ? find_service(*view.site, each.value.service) : nullptr;
        known_upstream->warm_up_rate = service != nullptr && service->warm_up
                                           ? service->warm_up->requests_per_s
                                           : 0;
        const auto returned = view.evacuation_ended_at.find(each.value.domain);
        known_upstream->warm_until = std::max(
            each.warm_until,
            returned == view.evacuation_ended_at.end()
                ? time_point{}
                : returned->second + evacuation_return_time);
        known_upstream->limit =
            limit_of(view.upstream_limits, id, each.value.started_ms);
        current_addresses.insert(each.value.address);
        if (view.evacuated.domains.count(each.value.domain) == 0)
            view.by_service[each.value.service].push_back(known_upstream.get());
    }
    for (const auto& [service, upstreams] : view.by_service)
        for (upstream_view* each : upstreams)
            each->service_upstreams =
                static_cast<std::uint32_t>(upstreams.size());
    std::vector<std::string> removed_addresses;
    std::set_difference(
        previous_addresses.begin(),
        previous_addresses.end(),
        current_addresses.begin(),
        current_addresses.end(),
        std::back_inserter(removed_addresses));
    return removed_addresses;
}

bool adopt_evacuations(
    entry_view& view, const site::evacuations& newer, time_point now)
{
    const site::evacuations before = view.evacuated;
    if (!adopt_newer(view.evacuated, newer))
        return false;
    for (const failure_domain& each : before.domains)
        if (view.evacuated.domains.count(each) == 0)
            view.evacuation_ended_at[each] = now;
    for (const failure_domain& each : view.evacuated.domains)
        view.evacuation_ended_at.erase(each);
    return true;
}

duration true_time(const entry_view& view, time_point now)
{
    return now.time_since_epoch() +
           std::chrono::milliseconds(view.true_time_offset_ms);
}

std::uint64_t usage_window_at(const entry_view& view, time_point now)
{
    return static_cast<std::uint64_t>(true_time(view, now) / view.usage_window);
}

bool record_limit(entry_view& view, const site::stated_limit& value)
{
    if (!merge(view.upstream_limits, value))
        return false;
    const auto found = view.upstreams.find(value.upstream);
    if (found != view.upstreams.end() &&
        found->second->value.started_ms == value.started_ms)
        found->second->limit = value.requests_per_s;
    return true;
}

std::vector<upstream_view*> eligible_upstreams(
    const entry_view& view, const service_name& service, std::uint32_t draw)
{
    const auto found = view.by_service.find(service);
    if (found == view.by_service.end())
        return {};
    const auto move = view.moves.find(service);
    if (move == view.moves.end())
        return found->second;
    const version_name& target = move->second.target;
    bool to_target = false;
    switch (move->second.state)
    {
    case site::move_state::active:
        to_target = draw < move->second.share;
        break;
    case site::move_state::completed:
        to_target = true;
        break;
    case site::move_state::reverted:
        break;
    }
    std::vector<upstream_view*> of_target;
    for (upstream_view* each : found->second)
        if (each->value.version == target)
            of_target.push_back(each);
    if (to_target && !of_target.empty())
        return of_target;
    std::vector<upstream_view*> old_version =
        select_old_version(move->second, found->second);
    const bool use_target_only =
        old_version.empty() && move->second.state == site::move_state::active &&
        !view.awaiting_directory;
    return use_target_only ? of_target : old_version;
}

} // namespace bergamotusher::gateway
