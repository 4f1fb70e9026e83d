#include "membership/directory_delta.hpp"

#include <algorithm>
#include <tuple>

namespace bergamotusher::membership
{

namespace
{

/// What an upstream announces, without its state, as a comparable value. The
/// order decides between two records with equal revisions and must therefore
/// be the same on all entries.
auto announced_content(const upstream& value)
{
    return std::tie(
        value.kind,
        value.service,
        value.version,
        value.address,
        value.domain,
        value.instance_class,
        value.paid_as,
        value.price_per_hour,
        value.slots,
        value.honours_fencing);
}

/// FNV-1a, which unlike `std::hash` gives the same value on every node.
std::uint64_t hash_of(const std::string& text, std::uint64_t hash)
{
    for (const char c : text)
    {
        hash ^= static_cast<unsigned char>(c);
        hash *= 0x100000001b3ULL;
    }
    return hash;
}

constexpr std::uint64_t hash_seed = 0xcbf29ce484222325ULL;

std::size_t bucket_of(const upstream_id& id)
{
    return hash_of(id.value, hash_seed) % digest_buckets;
}

std::uint64_t hash_of(const directory_entry& entry)
{
    const upstream& value = entry.value;
    std::uint64_t hash = hash_of(value.id.value, hash_seed);
    hash = hash_of(std::to_string(value.incarnation), hash);
    hash = hash_of(std::to_string(entry.revision), hash);
    hash = hash_of(std::string(to_name(value.state)), hash);
    hash = hash_of(value.version.value, hash);
    return hash_of(value.address, hash);
}

directory_record to_record(const directory_entry& entry, time_point now)
{
    directory_record record{entry.value, entry.revision, {}, std::nullopt};
    record.age = now - (entry.lease_until - upstream_lease);
    if (entry.reclaim_at)
        record.reclaim_in = *entry.reclaim_at - now;
    return record;
}

/// How much longer `delta` was in transit than the fastest delta of its sender.
/// The minimum grows by the possible clock drift since the last delta.
duration measure_excess_delay(
    directory& dir, const directory_delta& delta, time_point now)
{
    const duration offset = now.time_since_epoch() - delta.sent_at;
    const auto [found, inserted] =
        dir.peers.try_emplace(delta.from, peer_clock{});
    peer_clock& peer = found->second;
    if (inserted || delta.incarnation > peer.incarnation)
    {
        peer = {delta.incarnation, offset, now};
        return duration::zero();
    }
    const duration drift =
        from_seconds(to_seconds(now - peer.updated_at) * clock_drift);
    peer.min_offset = std::min(peer.min_offset + drift, offset);
    peer.updated_at = now;
    return offset - peer.min_offset;
}

/// Extends the lease for a renewal that is `age` old. Returns true if the
/// upstream is back after `expire` reported it.
bool extend_lease(directory_entry& entry, duration age, time_point now)
{
    const time_point until = now - age + upstream_lease;
    if (until <= entry.lease_until)
        return false;
    entry.lease_until = until;
    if (until <= now || !entry.expiry_reported)
        return false;
    entry.expiry_reported = false;
    return true;
}

void merge_reclaim_time(
    directory_entry& entry, const directory_record& record, time_point now)
{
    if (!record.reclaim_in)
        return;
    const time_point deadline = now + *record.reclaim_in;
    entry.reclaim_at = std::min(entry.reclaim_at.value_or(deadline), deadline);
}

directory_entry
to_entry(const directory_record& record, duration age, time_point now)
{
    directory_entry entry;
    entry.value = record.value;
    entry.revision = record.revision;
    entry.lease_until = now - age + upstream_lease;
    merge_reclaim_time(entry, record, now);
    return entry;
}

/// Merges a record of the same incarnation. Returns true if anything but the
/// lease changed, or if the upstream is back after `expire` reported it.
bool merge_same_incarnation(
    directory& dir,
    const directory_entry& known,
    const directory_record& record,
    duration age,
    time_point now)
{
    directory_entry next = known;
    const bool newer =
        record.revision > known.revision ||
        (record.revision == known.revision &&
         announced_content(record.value) > announced_content(known.value));
    if (newer)
        next.value = record.value;
    next.value.state = std::max(known.value.state, record.value.state);
    next.revision = std::max(known.revision, record.revision);
    const bool is_back = extend_lease(next, age, now);
    merge_reclaim_time(next, record, now);
    const bool changed =
        is_back || newer || next.value.state != known.value.state;
    store(dir, std::move(next));
    return changed;
}

bool merge_record(
    directory& dir,
    const directory_record& record,
    duration age,
    time_point now)
{
    const auto found = dir.entries.find(record.value.id);
    if (found == dir.entries.end() &&
        (dir.entries.size() >= max_upstreams ||
         age >= upstream_lease + record_retention))
        return false;
    if (found == dir.entries.end() ||
        record.value.incarnation > found->second.value.incarnation)
    {
        directory_entry entry = to_entry(record, age, now);
        apply_notices(dir, entry);
        store(dir, std::move(entry));
        return true;
    }
    if (record.value.incarnation < found->second.value.incarnation)
        return false;
    return merge_same_incarnation(dir, found->second, record, age, now);
}

/// Merges a renewal. Returns true if the upstream is back after `expire`
/// reported it.
bool merge_renewal(
    directory& dir,
    const directory_renewal& renewal,
    duration age,
    time_point now)
{
    const auto found = dir.entries.find(renewal.id);
    return found != dir.entries.end() &&
           found->second.value.incarnation == renewal.incarnation &&
           extend_lease(found->second, age, now);
}

std::optional<directory_delta> make_answer(
    const directory& dir,
    const std::vector<std::uint64_t>& remote_digest,
    time_point now)
{
    if (remote_digest.size() != digest_buckets)
        return std::nullopt;
    const std::vector<std::uint64_t> local_digest = digest(dir);
    directory_delta answer;
    for (const auto& [id, entry] : dir.entries)
        if (const std::size_t bucket = bucket_of(id);
            local_digest[bucket] != remote_digest[bucket])
            answer.records.push_back(to_record(entry, now));
    if (answer.records.empty())
        return std::nullopt;
    answer.sent_at = now.time_since_epoch();
    return answer;
}

} // namespace

void queue_for_delta(directory& dir, const load_report& load)
{
    dir.loads[load.id] = load;
}

void queue_for_delta(directory& dir, cache_events events)
{
    if (dir.caches.size() >= max_relayed_caches)
        dir.caches.erase(dir.caches.begin());
    dir.caches.push_back(std::move(events));
}

directory_delta collect_delta(
    directory& dir,
    const node_id& self,
    std::uint64_t incarnation,
    time_point now)
{
    directory_delta delta;
    delta.from = self;
    delta.incarnation = incarnation;
    delta.sent_at = now.time_since_epoch();
    for (auto& [id, entry] : dir.entries)
    {
        if (entry.changed)
            delta.records.push_back(to_record(entry, now));
        else if (entry.renewed)
            delta.renewals.push_back(
                {id,
                 entry.value.incarnation,
                 now - *entry.last_direct_renewal});
        entry.changed = false;
        entry.renewed = false;
    }
    for (const auto& [id, load] : dir.loads)
        delta.loads.push_back(load);
    dir.loads.clear();
    delta.caches.swap(dir.caches);
    if (now >= dir.next_digest_at)
    {
        delta.digest = digest(dir);
        dir.next_digest_at = now + digest_interval;
    }
    return delta;
}

merge_result merge(
    directory& dir,
    const directory_delta& delta,
    const node_id& self,
    std::uint64_t incarnation,
    time_point now)
{
    const duration excess_delay = measure_excess_delay(dir, delta, now);
    merge_result result;
    for (const directory_record& record : delta.records)
        if (merge_record(dir, record, record.age + excess_delay, now))
            result.changed.push_back(record.value.id);
    for (const directory_renewal& renewal : delta.renewals)
        if (merge_renewal(dir, renewal, renewal.age + excess_delay, now))
            result.changed.push_back(renewal.id);
    result.loads = delta.loads;
    result.caches = delta.caches;
    result.answer = make_answer(dir, delta.digest, now);
    if (result.answer)
    {
        result.answer->from = self;
        result.answer->incarnation = incarnation;
    }
    return result;
}

std::vector<std::uint64_t> digest(const directory& dir)
{
    std::vector<std::uint64_t> hashes(digest_buckets);
    for (const auto& [id, entry] : dir.entries)
        hashes[bucket_of(id)] ^= hash_of(entry);
    return hashes;
}

} // namespace bergamotusher::membership
