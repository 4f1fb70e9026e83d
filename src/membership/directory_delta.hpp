// How entries share the directory of upstreams.
//
// Each entry sends what it heard since its last delta and, every second, a
// digest of all its records. A receiver whose digest differs answers with its
// own records of the buckets that differ, so a lost delta is made good by a
// later one. Records merge to the same result in whatever order, and however
// often, they come.
//
// A lease travels as an age. A delta that was held up in the network would make
// the age too small, so each receiver measures by how much a delta was slower
// than the sender's fastest one, and adds that.
#pragma once

#include "membership/directory.hpp"

#include <vector>

namespace bergamotusher::membership
{

/// Buckets of the digest.
inline constexpr std::size_t digest_buckets = 16;
/// How often a delta carries the digest.
inline constexpr duration digest_interval = 1s;
/// Most cache events that wait for one delta; older ones are dropped.
inline constexpr std::size_t max_relayed_caches = 256;
/// Two clocks drift apart by no more than this share of the time passed.
inline constexpr double clock_drift = 0.0005;

/// One upstream as told to another entry.
struct directory_record
{
    upstream value;
    std::uint64_t revision = 0;
    /// Time since its last renewal, at the sending.
    duration age{};
    std::optional<duration> reclaim_in;

    bool operator==(const directory_record&) const = default;
};

/// An upstream has renewed its announcement.
struct directory_renewal
{
    upstream_id id;
    std::uint64_t incarnation = 0;
    duration age{};

    bool operator==(const directory_renewal&) const = default;
};

/// One message from entry to entry.
struct directory_delta
{
    node_id from;
    /// Start of the sending process.
    std::uint64_t incarnation = 0;
    /// The sender's monotonic clock.
    duration sent_at{};
    std::vector<directory_record> records;
    std::vector<directory_renewal> renewals;
    std::vector<load_report> loads;
    std::vector<cache_events> caches;
    /// Empty in an answer, and in deltas between two digests.
    std::vector<std::uint64_t> digest;

    bool operator==(const directory_delta&) const = default;
};

/// What a merged delta brought.
struct merge_result
{
    /// Upstreams that are new, that are back after `expire` reported them, or
    /// whose content or state has changed.
    std::vector<upstream_id> changed;
    /// For `routing::on_load` and `routing::on_cache_events`.
    std::vector<load_report> loads;
    std::vector<cache_events> caches;
    /// To be sent to the delta's sender, if the digests differ.
    std::optional<directory_delta> answer;
};

/// Keeps an upstream's events for the next delta.
void relay(directory& dir, const load_report& load);
void relay(directory& dir, cache_events events);

/// The delta since the last call; to be sent to every other entry each
/// `delta_interval`. `self` and `incarnation` name the sending process.
directory_delta collect_delta(
    directory& dir,
    const node_id& self,
    std::uint64_t incarnation,
    time_point now);

/// Takes a delta in. `self` and `incarnation` are for the answer.
merge_result merge(
    directory& dir,
    const directory_delta& delta,
    const node_id& self,
    std::uint64_t incarnation,
    time_point now);

/// Hashes of the records by bucket; leases are left out.
std::vector<std::uint64_t> digest(const directory& dir);

} // namespace bergamotusher::membership
