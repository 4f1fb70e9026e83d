#include "site/departures.hpp"

#include <algorithm>

namespace bergamotusher::site
{

namespace
{

void remove_outdated(departure_map& recorded, std::int64_t now_ms)
{
    for (auto i = recorded.begin(); i != recorded.end();)
        i = i->second.recorded_ms + departure_retention_ms < now_ms
                ? recorded.erase(i)
                : std::next(i);
    while (recorded.size() > max_departures)
        recorded.erase(std::min_element(
            recorded.begin(),
            recorded.end(),
            [](const auto& a, const auto& b)
            { return a.second.recorded_ms < b.second.recorded_ms; }));
}

} // namespace

bool is_recorded(
    const departure_map& recorded,
    const upstream_id& id,
    const departure& value)
{
    const auto found = recorded.find(id);
    if (found == recorded.end())
        return false;
    const departure& known = found->second;
    if (known.started_ms != value.started_ms)
        return known.started_ms > value.started_ms;
    return known.is_gone || !value.is_gone;
}

void record_departure(
    departure_map& recorded, const upstream_id& id, const departure& value)
{
    record_departures(recorded, {{id, value}});
}

void record_departures(departure_map& recorded, const departure_map& values)
{
    std::int64_t newest_ms = 0;
    for (const auto& [id, value] : values)
    {
        if (!is_recorded(recorded, id, value))
            recorded[id] = value;
        newest_ms = std::max(newest_ms, value.recorded_ms);
    }
    remove_outdated(recorded, newest_ms);
}

bool is_outdated(const departure_map& recorded, const upstream& announcement)
{
    const auto found = recorded.find(announcement.id);
    if (found == recorded.end())
        return false;
    const departure& left = found->second;
    if (announcement.started_ms != left.started_ms)
        return announcement.started_ms < left.started_ms;
    if (left.is_gone)
        return announcement.state != upstream_state::gone;
    return announcement.state == upstream_state::ready &&
           announcement.sequence <= left.sequence;
}

} // namespace bergamotusher::site
