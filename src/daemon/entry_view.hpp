// Status of all entries as seen by one entry. Used to list entry addresses for
// callers and to choose entries that take over requests during a drain.
#pragma once

#include "membership/entry_order.hpp"
#include "settings/settings.hpp"

#include <bergamotusher/ids.hpp>
#include <bergamotusher/time.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace bergamotusher
{

/// Interval of the status reports of an entry, and the age at which the last
/// report no longer shows that the entry is alive.
inline constexpr duration entry_report_interval = 500ms;
inline constexpr duration entry_report_timeout = 2s;

/// Last status report of an entry.
struct entry_status
{
    bool draining = false;
    bool ready = false;
    std::uint32_t open_requests = 0;
    time_point reported_at;
};

/// Configured entries and their status, including this entry.
struct entry_view
{
    node_id self;
    std::vector<peer> entries;
    std::map<node_id, entry_status> status;
};

/// Encodes the status report of this entry.
std::string
encode_entry_report(bool draining, bool ready, std::uint32_t open_requests);

/// Stores the status report of `from`. Returns false if it cannot be decoded.
bool apply_entry_report(
    entry_view& view,
    const node_id& from,
    std::string_view bytes,
    time_point now);

/// Returns all entries in the form from which the per-account order of entries
/// is computed.
std::vector<membership::entry_address>
entry_addresses(const entry_view& view, time_point now);

/// Returns the other live entries, draining ones too.
std::vector<node_id> find_live_entries(const entry_view& view, time_point now);

/// Returns the other live entries that are not draining, in ascending order of
/// open requests.
std::vector<node_id> find_successors(const entry_view& view, time_point now);

} // namespace bergamotusher
