// The upstreams known to a node, from their own announcements and from other
// nodes. Merging is commutative and idempotent: the newest announcement of an
// upstream wins, in whatever order and however often announcements arrive.
#pragma once

#include <bergamotusher/enum_names.hpp>
#include <bergamotusher/ids.hpp>
#include <bergamotusher/time.hpp>

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace bergamotusher::site
{

/// State of an upstream by its own announcement.
enum class upstream_state
{
    ready,
    /// Finishes running requests and accepts no new ones.
    draining,
    gone
};

constexpr auto enum_names(upstream_state)
{
    using row = enum_name<upstream_state>;
    return std::array{
        row{upstream_state::ready, "ready"},
        row{upstream_state::draining, "draining"},
        row{upstream_state::gone, "gone"}};
}

/// An announcement of an upstream.
struct upstream
{
    upstream_id id;
    service_name service;
    /// IP:PORT.
    std::string address;
    failure_domain domain;
    version_name version;
    std::uint32_t slots = 0;
    upstream_state state = upstream_state::ready;
    /// Remaining time of slow operation after a cold start.
    duration warm_up{};
    /// Start of this incarnation, milliseconds since the Unix epoch by the
    /// upstream's clock; orders incarnations of one id.
    std::int64_t started_ms = 0;
    /// Increases with each announcement of an incarnation.
    std::uint64_t sequence = 0;
    bool reclaimable = false;
    /// Time until the upstream is taken away; 0 if unknown.
    duration leaves_in{};
};

struct known_upstream
{
    upstream value;
    /// When an announcement of it was last merged here, received directly or
    /// through another node.
    time_point heard_at;
    /// When its announced facts last changed here.
    time_point changed_at;
};

struct upstream_directory
{
    std::map<upstream_id, known_upstream> upstreams;
    /// Digest over what all nodes must agree on; equal directories have equal
    /// digests.
    std::uint64_t digest = 0;
};

/// Result of merging an announcement.
enum class merge_outcome
{
    /// Not newer than what is known.
    stale,
    /// Nothing changed; shows only that the upstream is alive.
    refreshed,
    /// Something changed that other nodes must be told.
    changed
};

constexpr auto enum_names(merge_outcome)
{
    using row = enum_name<merge_outcome>;
    return std::array{
        row{merge_outcome::stale, "stale"},
        row{merge_outcome::refreshed, "refreshed"},
        row{merge_outcome::changed, "changed"}};
}

/// Merges an announcement into the directory.
merge_outcome merge(
    upstream_directory& directory,
    const upstream& announcement,
    time_point now);

/// Marks an upstream as gone after its notice of departure; returns true if
/// that changed the directory. `started_ms` is 0 if the notice does not name
/// the incarnation.
bool mark_gone(
    upstream_directory& directory,
    const upstream_id& id,
    std::int64_t started_ms,
    std::uint64_t sequence,
    time_point now);

/// Removes upstreams, gone or not, without an announcement for `keep` or
/// longer.
void remove_expired(
    upstream_directory& directory, duration keep, time_point now);

/// Upstreams that are not gone and sent no announcement for `timeout`.
std::vector<upstream_id> find_silent(
    const upstream_directory& directory, duration timeout, time_point now);

/// The last announcements of all upstreams, including those that are gone.
std::vector<upstream> all_announcements(const upstream_directory& directory);

/// Shortest time between two full directories sent to one entry.
inline constexpr duration full_directory_interval = 2s;
/// Changes younger than this are sent again with each report of an entry whose
/// directory differs: the first message may be lost, for example to a peer that
/// is not connected yet, and a drain must be known within 2 s.
inline constexpr duration recent_change_window = 6s;

/// The announcements to send to an entry that reported `digest`: none if its
/// directory is the same, all if the last full directory was sent long enough
/// before (`full_sent_at` is then set to `now`), else the recent changes.
std::vector<upstream> updates_for(
    const upstream_directory& directory,
    std::uint64_t digest,
    time_point& full_sent_at,
    time_point now);

} // namespace bergamotusher::site
