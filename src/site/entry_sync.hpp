// Decides which directory and site updates a control node sends to an entry
// beside the answers to its reports.
//
// Every control node hears the reports of every entry. If each of them sent the
// same updates to all entries, the traffic would grow with control nodes x
// entries x upstreams: the node that heard of a change tells all entries, the
// leader repairs what was lost, and the other nodes only what stays lost.
#pragma once

#include "site/upstream_directory.hpp"

#include <bergamotusher/ids.hpp>
#include <bergamotusher/time.hpp>

#include <cstdint>
#include <optional>
#include <set>
#include <vector>

namespace bergamotusher::site
{

struct entry_sync_options
{
    /// A change younger than this may still be on its way to the entry.
    duration in_flight_time = 150ms;
    /// Changes older than this are sent only with the full directory.
    duration change_window = 2s;
    /// How long an entry's directory must differ before it gets changes, for
    /// each rank of the node that sends them. Drains must be known everywhere
    /// within 2 s.
    duration patience_per_rank = 400ms;
    /// How long an entry's directory must differ before it gets the full
    /// directory, although its changes were sent again: while the directory
    /// does not change, and in any case. Multiplied by 1 + rank.
    duration full_patience = 1200ms;
    duration full_patience_max = 4s;
    /// The directory counts as unchanging if it did not change for this long.
    duration settle_time = 300ms;
    /// Shortest time between two full directories sent to one entry.
    duration full_interval = 2s;
    /// A site is not sent again to the same entry within this time.
    duration site_resend_interval = 1s;
    /// Shortest time between two sites sent to one entry. Where changes come
    /// more quickly, an entry gets the newest one: sites have hundreds of KB,
    /// and there may be hundreds of entries. Operators expect changes to be in
    /// force within 2 s.
    duration site_interval = 200ms;
    /// How long an entry must lack the newest site before it gets it, for each
    /// rank of the node that sends it.
    duration site_patience_per_rank = 150ms;
};

/// What a control node knows of an entry's copy of the directory and the site.
struct entry_sync_state
{
    /// Since when the entry's reports show another directory.
    std::optional<time_point> differs_since;
    /// The entry has the changes up to then, or they were sent again.
    time_point changes_sent_until;
    time_point full_sent_at;
    /// The newest site that the entry does not have, and since when.
    std::uint64_t missing_site_version = 0;
    time_point site_missing_since;
    std::uint64_t sent_site_version = 0;
    time_point site_sent_at;
};

enum class directory_update_scope
{
    none,
    changes,
    full
};

constexpr auto enum_names(directory_update_scope)
{
    using row = enum_name<directory_update_scope>;
    return std::array{
        row{directory_update_scope::none, "none"},
        row{directory_update_scope::changes, "changes"},
        row{directory_update_scope::full, "full"}};
}

/// The upstreams to send in reply to a report; empty for `none`, and for `full`
/// the caller sends the whole directory.
struct directory_update
{
    directory_update_scope scope = directory_update_scope::none;
    std::vector<upstream> changes;
};

/// The rank of the control node `self` for an entry: 0 for the leader, 1 and
/// more for `self` among `others`, in an order that differs by entry, so that
/// the work of a lost leader is spread over all of them.
std::uint32_t sync_rank(
    const node_id& self,
    const std::set<node_id>& others,
    const node_id& entry,
    bool is_leader);

/// Decides on the reply to a report with the directory digest `digest`, and
/// records it in `state` as sent.
directory_update directory_update_for(
    const entry_sync_options& options,
    const upstream_directory& directory,
    std::uint64_t digest,
    std::uint32_t rank,
    entry_sync_state& state,
    time_point now);

/// Whether a control node sends its full directory to another one, in reply to
/// a message with that node's digest; records it in `sent_at`.
bool should_send_directory(
    const entry_sync_options& options,
    const upstream_directory& directory,
    std::uint64_t digest,
    time_point& sent_at,
    time_point now);

/// Whether a message to an entry that has `held_version` includes the site of
/// `version`; records it as sent.
bool should_send_site(
    const entry_sync_options& options,
    std::uint64_t version,
    std::uint64_t held_version,
    std::uint32_t rank,
    entry_sync_state& state,
    time_point now);

} // namespace bergamotusher::site
