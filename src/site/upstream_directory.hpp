// The upstreams that a node knows of, from their own announcements and from
// other nodes. Merging is commutative: the newest announcement of an upstream
// holds, in whatever order and however often announcements arrive.
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

/// What an upstream says of itself.
enum class upstream_state
{
    ready,
    /// Finishes what it has and takes nothing new.
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

/// One announcement.
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
    /// How much longer it stays slow after its start.
    duration warm_up{};
    /// Start of this incarnation, milliseconds since the Unix epoch by the
    /// upstream's clock; orders incarnations of one id.
    std::int64_t started_ms = 0;
    /// Grows with each announcement of an incarnation.
    std::uint64_t sequence = 0;
    bool reclaimable = false;
    /// Time until it is taken away; 0 if unknown.
    duration leaves_in{};
};

struct known_upstream
{
    upstream value;
    /// When an announcement of it last arrived anywhere, as far as is known.
    time_point heard_at;
    /// When its state last changed here.
    time_point changed_at;
};

struct upstream_directory
{
    std::map<upstream_id, known_upstream> upstreams;
    /// Digest of what all nodes are to agree on; equal directories have equal
    /// digests.
    std::uint64_t digest = 0;
};

/// What an announcement did.
enum class merge_outcome
{
    /// Older than what is known, or another incarnation that has ended.
    stale,
    /// Says nothing new but that the upstream lives.
    refreshed,
    /// Something changed that others must hear.
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

/// Takes an announcement.
merge_outcome
merge(upstream_directory& directory, const upstream& news, time_point now);

/// Marks an upstream as gone that said that it leaves; true if it was known.
bool remove(
    upstream_directory& directory,
    const upstream_id& id,
    std::int64_t started_ms,
    std::uint64_t sequence,
    time_point now);

/// Forgets upstreams that are gone, or silent, for longer than `keep`.
void forget(upstream_directory& directory, duration keep, time_point now);

/// Upstreams that are not gone and were not heard from for `patience`.
std::vector<upstream_id>
silent(const upstream_directory& directory, duration patience, time_point now);

/// All announcements.
std::vector<upstream> all(const upstream_directory& directory);

/// A whole directory is sent to one entry at most this often.
inline constexpr duration whole_directory_interval = 2s;
/// What changed within this time is sent again with each report of an entry
/// whose directory differs: the message that told it first may be lost, as to
/// a peer that is not connected yet, and a drain must be known within 2 s.
inline constexpr duration recent_change = 6s;

/// What an entry is to be told that reports `digest` and was sent a whole
/// directory at `sent_whole_at`; nothing if it has the same directory.
std::vector<upstream> news_for(
    const upstream_directory& directory,
    std::uint64_t digest,
    time_point& sent_whole_at,
    time_point now);

} // namespace bergamotusher::site
