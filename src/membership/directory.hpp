// The directory of upstreams: who is there, and who may be given new work.
//
// Upstreams announce themselves to any entry and renew the announcement while
// they serve. A record only ever moves forward: a greater incarnation replaces
// a smaller one, and within one incarnation `serving` turns to `leaving` and
// to `lost` but never back. So a late announcement cannot revive an upstream.
#pragma once

#include <bergamotusher/error_kind.hpp>
#include <bergamotusher/ids.hpp>
#include <bergamotusher/time.hpp>
#include <bergamotusher/upstream.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace bergamotusher::membership
{

/// How often an upstream should renew its announcement.
inline constexpr duration renewal_interval = 500ms;
/// How often an entry should send its delta to the other entries.
inline constexpr duration delta_interval = 250ms;
/// An upstream that has not renewed for this long gets no new work.
inline constexpr duration upstream_lease = 1500ms;
/// How long a record is remembered after its upstream fell silent.
inline constexpr duration record_retention = 10min;
/// Most upstreams that one directory holds.
inline constexpr std::size_t max_upstreams = 8'192;

/// One upstream in the directory.
struct directory_entry
{
    upstream value;
    /// Grows with each change of what the upstream announced.
    std::uint64_t revision = 0;
    /// No new work from then on, unless the announcement is renewed.
    time_point lease_until;
    /// When the upstream's instance will be reclaimed, if that is known.
    std::optional<time_point> reclaim_at;
    /// Last renewal that reached this entry directly.
    std::optional<time_point> heard_here;
    /// To be told to other entries.
    bool changed = false;
    bool renewed = false;
    /// `expire` has reported it.
    bool expiry_reported = false;
};

/// What this entry knows of another entry's clock: the least difference seen
/// between a message's arrival here and its sending there.
struct peer_clock
{
    std::uint64_t incarnation = 0;
    duration least_offset{};
    time_point measured_at;
};

/// All upstreams that this entry knows of.
struct directory
{
    std::unordered_map<upstream_id, directory_entry> entries;
    std::map<service_name, std::vector<upstream_id>> by_service;
    /// Reclaim notices by instance and by failure domain, kept until their
    /// deadline.
    std::map<upstream_id, time_point> noticed;
    std::map<failure_domain, time_point> noticed_domains;
    std::map<node_id, peer_clock> peers;
    /// When the next delta carries a digest.
    time_point digest_due;
    /// Events to relay with the next delta.
    std::map<upstream_id, load_report> loads;
    std::vector<cache_events> caches;
    /// Grows with each change of who is in the directory.
    std::uint64_t generation = 0;
};

/// What `announce` did.
enum class announce_outcome
{
    /// First heard of, a newer incarnation, or back after `expire` reported it.
    joined,
    /// Same incarnation, other content.
    changed,
    renewed,
    /// Recorded, but it is leaving or lost and gets no new work.
    not_serving,
    /// A newer incarnation is known.
    outdated,
    /// The directory is full.
    full
};

/// Takes an announcement that an upstream made to this entry.
announce_outcome
announce(directory& dir, const upstream& value, time_point now);

/// The upstream says that it leaves. With `incarnation`, only that one; a
/// newer one stays. False if there is no such upstream.
bool leave(
    directory& dir,
    const upstream_id& id,
    std::optional<std::uint64_t> incarnation = std::nullopt);

/// The instance will be reclaimed at `deadline`. Until then it holds for
/// whatever process runs on it, also one that announces itself later.
void notice(directory& dir, const upstream_id& id, time_point deadline);

/// A whole failure domain will be reclaimed at `deadline`; returns the
/// upstreams that are leaving by this.
std::vector<upstream_id>
notice(directory& dir, const failure_domain& domain, time_point deadline);

/// The upstream's process is known to be dead. False if it is not known.
bool lost(directory& dir, const upstream_id& id);

/// Reports each upstream whose lease has lapsed since the last call, and
/// forgets records past their retention and notices past their deadline.
std::vector<upstream_id> expire(directory& dir, time_point now);

/// Whether the upstream may be given new work.
bool may_take_work(const directory_entry& entry, time_point now);

/// The state of an upstream, with a lapsed lease read as `lost`.
upstream_state state_of(const directory_entry& entry, time_point now);

/// The record of `id`, or null.
const directory_entry* find(const directory& dir, const upstream_id& id);

/// Whether a failure domain with at least two upstreams has none left that
/// holds a lease: the loss is the domain's, not the work's.
bool domain_gone(
    const directory& dir, const failure_domain& domain, time_point now);

/// Enters `entry` if it is new, and keeps the index by service.
directory_entry& store(directory& dir, directory_entry entry);

/// Marks `entry` as `leaving` if a notice covers it.
void apply_notices(const directory& dir, directory_entry& entry);

constexpr auto enum_names(announce_outcome)
{
    using o = announce_outcome;
    using row = enum_name<o>;
    return std::array{
        row{o::joined, "joined"},
        row{o::changed, "changed"},
        row{o::renewed, "renewed"},
        row{o::not_serving, "not_serving"},
        row{o::outdated, "outdated"},
        row{o::full, "full"}};
}

} // namespace bergamotusher::membership
