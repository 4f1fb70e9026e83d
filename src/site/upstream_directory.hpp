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
#include <set>
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
    /// When it ends to warm up, by its newest announcement.
    time_point warm_until{};
};

struct upstream_directory
{
    std::map<upstream_id, known_upstream> upstreams;
    /// Digest over the facts of all upstreams that are not gone; directories
    /// that offer the same upstreams have equal digests. Upstreams that are
    /// gone are left out because nodes forget them at different times.
    std::uint64_t digest = 0;
    /// When `digest` last changed here.
    time_point changed_at;
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

/// Merges an announcement into the directory. Of several upstreams with the
/// same address all but the one that started last are gone. `age` is the time
/// since the node that forwards it heard of the upstream, so that an upstream
/// which crashed does not seem alive because nodes tell each other of it.
merge_outcome merge(
    upstream_directory& directory,
    const upstream& announcement,
    time_point now,
    duration age = {});

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

/// Records that another node has the same directory: all upstreams in it are
/// still known there.
void confirm_all(upstream_directory& directory, time_point now);

/// Removes the upstreams that are not in `listed`, which are all that another
/// node knows, unless an announcement was merged here within `keep`.
void remove_unlisted(
    upstream_directory& directory,
    const std::set<upstream_id>& listed,
    duration keep,
    time_point now);

/// Number of upstreams of a version of a service that are ready.
std::uint32_t count_ready(
    const upstream_directory& directory,
    const service_name& service,
    const version_name& version);

} // namespace bergamotusher::site
