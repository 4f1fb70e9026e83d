// The directory of upstreams: which upstreams exist, and which of them accept
// new work.
//
// Upstreams announce themselves to any entry and renew the announcement while
// they serve. A greater incarnation replaces a smaller one, and within one
// incarnation the state changes only from `serving` to `leaving` to `lost`. A
// delayed announcement therefore cannot make a leaving upstream serve again.
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

/// Interval at which an upstream should renew its announcement.
inline constexpr duration renewal_interval = 500ms;
/// Interval at which an entry should send its delta to the other entries.
inline constexpr duration delta_interval = 250ms;
/// An upstream that has not renewed for this long gets no new work.
inline constexpr duration upstream_lease = 1500ms;
/// How long a record is kept after the lease of its upstream has expired.
inline constexpr duration record_retention = 10min;
/// Maximum number of upstreams in one directory.
inline constexpr std::size_t max_upstreams = 8'192;

/// One upstream in the directory.
struct directory_entry
{
    upstream value;
    /// Incremented when the upstream announces other content.
    std::uint64_t revision = 0;
    /// The upstream gets no new work from this time on, unless it renews its
    /// announcement.
    time_point lease_until;
    /// When the upstream's instance will be reclaimed, if known.
    std::optional<time_point> reclaim_at;
    /// When the upstream last announced itself to this entry directly.
    std::optional<time_point> last_direct_renewal;
    /// The record must be in the next delta to other entries.
    bool changed = false;
    /// The renewal must be in the next delta to other entries.
    bool renewed = false;
    /// `expire` has reported the expired lease.
    bool expiry_reported = false;
};

/// Estimate of another entry's clock offset: the smallest difference observed
/// between the time of receipt here and the time of sending there.
struct peer_clock
{
    std::uint64_t incarnation = 0;
    duration min_offset{};
    time_point updated_at;
};

/// All upstreams known to this entry.
struct directory
{
    std::unordered_map<upstream_id, directory_entry> entries;
    std::map<service_name, std::vector<upstream_id>> by_service;
    /// Deadlines of reclaim notices by instance and by failure domain, kept
    /// until they have passed.
    std::map<upstream_id, time_point> reclaim_notices;
    std::map<failure_domain, time_point> domain_reclaim_notices;
    std::map<node_id, peer_clock> peers;
    /// When the next digest is sent with a delta.
    time_point next_digest_at;
    /// Upstreams' events to send with the next delta.
    std::map<upstream_id, load_report> loads;
    std::vector<cache_events> caches;
    /// Incremented when the set of upstreams, or the content or state of one,
    /// changes.
    std::uint64_t generation = 0;
};

/// Outcome of `announce`.
enum class announce_outcome
{
    /// The upstream is new, has a newer incarnation, or renewed its
    /// announcement after `expire` had reported it.
    joined,
    /// Same incarnation with other content.
    changed,
    renewed,
    /// The upstream is leaving or lost and gets no new work.
    not_serving,
    /// A newer incarnation is known.
    outdated,
    /// The directory is full; the upstream was not added.
    full
};

/// Records an announcement that an upstream sent to this entry.
announce_outcome
announce(directory& dir, const upstream& value, time_point now);

/// Marks an upstream as leaving; with `incarnation`, only if it has that
/// incarnation. Returns false if there is no such upstream.
bool mark_leaving(
    directory& dir,
    const upstream_id& id,
    std::optional<std::uint64_t> incarnation = std::nullopt);

/// Records that the instance will be reclaimed at `deadline`. Until then every
/// upstream process on the instance is marked as leaving, including one that
/// announces itself later.
void add_reclaim_notice(
    directory& dir, const upstream_id& id, time_point deadline);

/// Records that a whole failure domain will be reclaimed at `deadline`. Returns
/// its upstreams that are leaving, sorted by id.
std::vector<upstream_id> add_reclaim_notice(
    directory& dir, const failure_domain& domain, time_point deadline);

/// Marks an upstream as lost because its process is dead. Returns false if the
/// upstream is not in the directory.
bool mark_lost(directory& dir, const upstream_id& id);

/// Returns the upstreams whose lease has expired since the last call, sorted by
/// id. Erases records after `record_retention` and notices after their
/// deadline.
std::vector<upstream_id> expire(directory& dir, time_point now);

/// Whether the upstream is serving and holds a lease, and so may be given new
/// work.
bool accepts_new_work(const directory_entry& entry, time_point now);

/// The state of an upstream; `lost` if its lease has expired.
upstream_state state_of(const directory_entry& entry, time_point now);

/// The record of `id`, or null.
const directory_entry* find(const directory& dir, const upstream_id& id);

/// Whether a failure domain has at least two upstreams and all of them are
/// lost. The cause is then the failure domain and not the requests that the
/// upstreams ran.
bool is_domain_lost(
    const directory& dir, const failure_domain& domain, time_point now);

/// Inserts or replaces a record and updates the index by service.
directory_entry& store(directory& dir, directory_entry entry);

/// Marks `entry` as leaving and sets its reclaim time if there is a reclaim
/// notice for its instance or failure domain.
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
