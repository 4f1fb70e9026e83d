#include "site/upstream_directory.hpp"

#include "base/hash.hpp"

#include <algorithm>
#include <tuple>

namespace bergamotusher::site
{

namespace
{

/// Covers what nodes must agree on, not when or how often it was announced. The
/// shares of upstreams are combined by XOR, in which equal differences would
/// cancel, so that each bit has to depend on all that is covered.
std::uint64_t digest_of(const upstream& value)
{
    if (value.state == upstream_state::gone)
        return 0;
    std::uint64_t digest = hash_of(value.id.value);
    digest = mixed_hash(digest, hash_of(value.service.value));
    digest = mixed_hash(digest, hash_of(value.address));
    digest = mixed_hash(digest, hash_of(value.domain.value));
    digest = mixed_hash(digest, hash_of(value.version.value));
    digest = mixed_hash(digest, value.slots);
    digest = mixed_hash(digest, value.reclaimable ? 1 : 0);
    digest = mixed_hash(digest, static_cast<std::uint64_t>(value.state));
    return mixed_hash(digest, static_cast<std::uint64_t>(value.started_ms));
}

/// Replaces the share of one upstream in the directory's digest.
void update_digest(
    upstream_directory& directory,
    std::uint64_t before,
    std::uint64_t after,
    time_point now)
{
    if (before == after)
        return;
    directory.digest ^= before ^ after;
    directory.changed_at = now;
}

bool same_facts(const upstream& a, const upstream& b)
{
    return std::tie(a.service, a.address, a.domain, a.version, a.slots) ==
               std::tie(b.service, b.address, b.domain, b.version, b.slots) &&
           a.state == b.state && a.started_ms == b.started_ms &&
           a.reclaimable == b.reclaimable;
}

/// Whether an upstream that runs on became cold again. Its remaining time
/// otherwise only falls; how late an announcement arrives varies.
bool became_cold(const known_upstream& known, time_point warm_until)
{
    constexpr duration delay_variation = 500ms;
    return warm_until > known.warm_until + delay_variation;
}

/// An incarnation that is gone never becomes ready again by a late
/// announcement.
bool is_newer(const upstream& announcement, const upstream& known)
{
    if (announcement.started_ms != known.started_ms)
        return announcement.started_ms > known.started_ms;
    if (announcement.state != known.state &&
        known.state == upstream_state::gone)
        return false;
    return announcement.sequence > known.sequence ||
           (announcement.sequence == known.sequence &&
            announcement.state > known.state);
}

/// Whether an upstream with another id started later at the same address: the
/// address was given to it after the announced one had ended.
bool is_replaced(
    const upstream_directory& directory, const upstream& announcement)
{
    return announcement.state != upstream_state::gone &&
           std::any_of(
               directory.upstreams.begin(),
               directory.upstreams.end(),
               [&](const auto& entry)
               {
                   const upstream& other = entry.second.value;
                   return other.address == announcement.address &&
                          other.id != announcement.id &&
                          other.started_ms > announcement.started_ms;
               });
}

void mark_predecessors_gone(
    upstream_directory& directory, const upstream& announcement, time_point now)
{
    for (auto& [id, known] : directory.upstreams)
    {
        upstream& other = known.value;
        if (id == announcement.id || other.address != announcement.address ||
            other.state == upstream_state::gone ||
            other.started_ms >= announcement.started_ms)
            continue;
        update_digest(directory, digest_of(other), 0, now);
        other.state = upstream_state::gone;
        known.changed_at = now;
    }
}

merge_outcome merge_one(
    upstream_directory& directory,
    const upstream& announcement,
    time_point now,
    duration age)
{
    const time_point warm_until = announcement.warm_up > duration::zero()
                                      ? now - age + announcement.warm_up
                                      : time_point{};
    const auto found = directory.upstreams.find(announcement.id);
    if (found == directory.upstreams.end())
    {
        directory.upstreams.emplace(
            announcement.id,
            known_upstream{announcement, now - age, now, warm_until});
        update_digest(directory, 0, digest_of(announcement), now);
        return merge_outcome::changed;
    }
    known_upstream& known = found->second;
    if (!is_newer(announcement, known.value))
        return merge_outcome::stale;
    const bool same = same_facts(announcement, known.value) &&
                      !(warm_until > now && became_cold(known, warm_until));
    known.warm_until = warm_until;
    update_digest(
        directory, digest_of(known.value), digest_of(announcement), now);
    known.value = announcement;
    known.heard_at = std::max(known.heard_at, now - age);
    if (same)
        return merge_outcome::refreshed;
    known.changed_at = now;
    return merge_outcome::changed;
}

} // namespace

merge_outcome merge(
    upstream_directory& directory,
    const upstream& announcement,
    time_point now,
    duration age)
{
    const auto known = directory.upstreams.find(announcement.id);
    const bool may_move =
        known == directory.upstreams.end() ||
        known->second.value.address != announcement.address ||
        known->second.value.started_ms != announcement.started_ms ||
        known->second.value.state == upstream_state::gone;
    if (!may_move)
        return merge_one(directory, announcement, now, age);
    if (is_replaced(directory, announcement))
    {
        upstream ended = announcement;
        ended.state = upstream_state::gone;
        return merge_one(directory, ended, now, age);
    }
    const merge_outcome outcome = merge_one(directory, announcement, now, age);
    if (outcome == merge_outcome::changed)
        mark_predecessors_gone(directory, announcement, now);
    return outcome;
}

bool mark_gone(
    upstream_directory& directory,
    const upstream_id& id,
    std::int64_t started_ms,
    std::uint64_t sequence,
    time_point now)
{
    const auto found = directory.upstreams.find(id);
    if (found == directory.upstreams.end())
        return false;
    upstream announcement = found->second.value;
    // A notice without a start time applies to the newest incarnation.
    if (started_ms != 0 && started_ms < announcement.started_ms)
        return false;
    announcement.started_ms = std::max(announcement.started_ms, started_ms);
    announcement.sequence = std::max(announcement.sequence, sequence);
    announcement.state = upstream_state::gone;
    return merge(directory, announcement, now) == merge_outcome::changed;
}

void remove_expired(
    upstream_directory& directory, duration keep, time_point now)
{
    for (auto i = directory.upstreams.begin(); i != directory.upstreams.end();)
    {
        if (now - i->second.heard_at < keep)
        {
            ++i;
            continue;
        }
        update_digest(directory, digest_of(i->second.value), 0, now);
        i = directory.upstreams.erase(i);
    }
}

std::vector<upstream_id> find_silent(
    const upstream_directory& directory, duration timeout, time_point now)
{
    std::vector<upstream_id> found;
    for (const auto& [id, each] : directory.upstreams)
        if (each.value.state != upstream_state::gone &&
            now - each.heard_at > timeout)
            found.push_back(id);
    return found;
}

void confirm_all(upstream_directory& directory, time_point now)
{
    for (auto& [id, each] : directory.upstreams)
        each.heard_at = now;
}

void remove_unlisted(
    upstream_directory& directory,
    const std::set<upstream_id>& listed,
    duration keep,
    time_point now)
{
    for (auto i = directory.upstreams.begin(); i != directory.upstreams.end();)
    {
        if (listed.count(i->first) > 0 || now - i->second.heard_at < keep)
        {
            ++i;
            continue;
        }
        update_digest(directory, digest_of(i->second.value), 0, now);
        i = directory.upstreams.erase(i);
    }
}

std::uint32_t count_ready(
    const upstream_directory& directory,
    const service_name& service,
    const version_name& version)
{
    return static_cast<std::uint32_t>(std::count_if(
        directory.upstreams.begin(),
        directory.upstreams.end(),
        [&](const auto& item)
        {
            const upstream& value = item.second.value;
            return value.service == service && value.version == version &&
                   value.state == upstream_state::ready;
        }));
}

} // namespace bergamotusher::site
