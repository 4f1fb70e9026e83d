// The departures of upstreams that were acknowledged to them. They are part of
// the replicated state, so that an announcement that arrives late does not
// return an upstream to use, whichever nodes have restarted since.
#pragma once

#include "site/upstream_directory.hpp"

#include <bergamotusher/ids.hpp>

#include <cstddef>
#include <cstdint>
#include <map>

namespace bergamotusher::site
{

/// The newest departure of an upstream.
struct departure
{
    /// The incarnation that left; see `upstream::started_ms`.
    std::int64_t started_ms = 0;
    /// The sequence number of the notice, as in announcements.
    std::uint64_t sequence = 0;
    /// False if the upstream drains and still announces itself.
    bool is_gone = false;
    /// By the time of day of the node that recorded it, milliseconds since the
    /// Unix epoch.
    std::int64_t recorded_ms = 0;

    bool operator==(const departure&) const = default;
};

using departure_map = std::map<upstream_id, departure>;

/// Departures are kept for this long, in milliseconds; announcements arrive
/// some seconds late at most.
inline constexpr std::int64_t departure_retention_ms = 600'000;
/// The oldest departures beyond this number are forgotten. The largest planned
/// system has 5,000 upstreams.
inline constexpr std::size_t max_departures = 8192;

/// Whether `recorded` includes the departure `value` of `id`: the same or a
/// later incarnation has left in at least the same way.
bool is_recorded(
    const departure_map& recorded,
    const upstream_id& id,
    const departure& value);

/// Records a departure unless `is_recorded`, and removes outdated ones.
void record_departure(
    departure_map& recorded, const upstream_id& id, const departure& value);
/// The same for several departures.
void record_departures(departure_map& recorded, const departure_map& values);

/// Whether the announcement was sent before its upstream left.
bool is_outdated(const departure_map& recorded, const upstream& announcement);

} // namespace bergamotusher::site
