// How entries share the directory of upstreams.
//
// Each entry sends the changes since its last delta and, every second, a digest
// of all its records. A receiver whose digest differs answers with its own
// records of the buckets that differ, which also repairs the effect of a lost
// delta. Merging is commutative and idempotent: the order and number of
// deliveries do not matter.
//
// A lease is sent as the age of the last renewal. For a delta that was delayed
// in the network this age is too small, so the receiver adds how much longer
// the delta took than the fastest delta from the same sender.
#pragma once

#include "membership/directory.hpp"

#include <vector>

namespace bergamotusher::membership
{

/// Number of buckets of the digest.
inline constexpr std::size_t digest_buckets = 16;
/// Interval at which a delta carries the digest.
inline constexpr duration digest_interval = 1s;
/// Maximum number of cache events in one delta; older ones are dropped.
inline constexpr std::size_t max_relayed_caches = 256;
/// Maximum drift between two clocks, as a fraction of the elapsed time.
inline constexpr double clock_drift = 0.0005;

/// The record of one upstream in a delta.
struct directory_record
{
    upstream value;
    std::uint64_t revision = 0;
    /// Time from the last renewal to the sending of the delta.
    duration age{};
    /// Time from the sending of the delta until the instance is reclaimed.
    std::optional<duration> reclaim_in;

    bool operator==(const directory_record&) const = default;
};

/// The renewal of an upstream's announcement.
struct directory_renewal
{
    upstream_id id;
    std::uint64_t incarnation = 0;
    duration age{};

    bool operator==(const directory_renewal&) const = default;
};

/// A message from one entry to another.
struct directory_delta
{
    node_id from;
    /// Incarnation of the sending process.
    std::uint64_t incarnation = 0;
    /// Time of sending by the sender's monotonic clock.
    duration sent_at{};
    std::vector<directory_record> records;
    std::vector<directory_renewal> renewals;
    std::vector<load_report> loads;
    std::vector<cache_events> caches;
    /// Digest of the sender's directory. Empty in answers, and in deltas sent
    /// before the next digest is due.
    std::vector<std::uint64_t> digest;

    bool operator==(const directory_delta&) const = default;
};

/// Result of merging a delta.
struct merge_result
{
    /// Upstreams that are new, whose content or state has changed, or that are
    /// back after `expire` reported them.
    std::vector<upstream_id> changed;
    /// Events to pass to `routing::on_load` and `routing::on_cache_events`.
    std::vector<load_report> loads;
    std::vector<cache_events> caches;
    /// Delta to send to the sender, if the digests differ.
    std::optional<directory_delta> answer;
};

/// Stores an upstream's events for the next delta.
void queue_for_delta(directory& dir, const load_report& load);
void queue_for_delta(directory& dir, cache_events events);

/// Returns the changes since the last call, to be sent to every other entry
/// each `delta_interval`. `self` and `incarnation` identify the sending
/// process.
directory_delta collect_delta(
    directory& dir,
    const node_id& self,
    std::uint64_t incarnation,
    time_point now);

/// Merges a received delta. `self` and `incarnation` identify this process in
/// the answer.
merge_result merge(
    directory& dir,
    const directory_delta& delta,
    const node_id& self,
    std::uint64_t incarnation,
    time_point now);

/// Hash of the records of each bucket. Leases are not included, since they
/// change with each renewal.
std::vector<std::uint64_t> digest(const directory& dir);

} // namespace bergamotusher::membership
