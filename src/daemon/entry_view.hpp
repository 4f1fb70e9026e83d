// What one entry knows of the other entries, for handing out addresses to
// callers and for finding successors when it drains.
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

/// How often an entry reports itself, and when one that is silent is left out.
inline constexpr duration entry_report_interval = 500ms;
inline constexpr duration entry_report_lifetime = 2s;

/// What another entry last said of itself.
struct entry_status
{
    bool draining = false;
    bool ready = false;
    std::uint32_t open_requests = 0;
    time_point heard;
};

/// All entries, this one too.
struct entry_view
{
    node_id self;
    std::vector<peer> entries;
    std::map<node_id, entry_status> status;
};

/// Encodes what this entry says of itself.
std::string
encode_report(bool draining, bool ready, std::uint32_t open_requests);

/// Takes the report of `from`; false if it cannot be read.
bool take_report(
    entry_view& view,
    const node_id& from,
    std::string_view bytes,
    time_point now);

/// All entries as the order for callers takes them.
std::vector<membership::entry_address>
entry_addresses(const entry_view& view, time_point now);

/// Entries that can take requests over, those with the fewest open first.
std::vector<node_id> successors(const entry_view& view, time_point now);

} // namespace bergamotusher
