#include "site/upstream_directory.hpp"

#include <algorithm>
#include <tuple>

namespace bergamotusher::site
{

namespace
{

std::size_t hash_combine(std::size_t seed, std::size_t value)
{
    constexpr std::size_t golden_ratio = 0x9e3779b97f4a7c15U;
    return seed ^ (value + golden_ratio + (seed << 6U) + (seed >> 2U));
}

/// Covers what nodes must agree on, not when or how often it was announced.
std::uint64_t digest_of(const upstream& value)
{
    const std::hash<std::string> text;
    std::size_t digest = text(value.id.value);
    digest = hash_combine(digest, text(value.service.value));
    digest = hash_combine(digest, text(value.address));
    digest = hash_combine(digest, text(value.version.value));
    digest = hash_combine(digest, static_cast<std::size_t>(value.state));
    return hash_combine(digest, static_cast<std::size_t>(value.started_ms));
}

bool same_facts(const upstream& a, const upstream& b)
{
    return std::tie(a.service, a.address, a.domain, a.version, a.slots) ==
               std::tie(b.service, b.address, b.domain, b.version, b.slots) &&
           a.state == b.state && a.started_ms == b.started_ms &&
           a.reclaimable == b.reclaimable;
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

} // namespace

merge_outcome merge(
    upstream_directory& directory, const upstream& announcement, time_point now)
{
    const auto found = directory.upstreams.find(announcement.id);
    if (found == directory.upstreams.end())
    {
        directory.upstreams.emplace(
            announcement.id, known_upstream{announcement, now, now});
        directory.digest ^= digest_of(announcement);
        return merge_outcome::changed;
    }
    known_upstream& known = found->second;
    if (!is_newer(announcement, known.value))
        return merge_outcome::stale;
    const bool same = same_facts(announcement, known.value);
    directory.digest ^= digest_of(known.value) ^ digest_of(announcement);
    known.value = announcement;
    known.heard_at = now;
    if (same)
        return merge_outcome::refreshed;
    known.changed_at = now;
    return merge_outcome::changed;
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
        directory.digest ^= digest_of(i->second.value);
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

std::vector<upstream> updates_for(
    const upstream_directory& directory,
    std::uint64_t digest,
    time_point& full_sent_at,
    time_point now)
{
    if (digest == directory.digest)
        return {};
    if (now - full_sent_at > full_directory_interval)
    {
        full_sent_at = now;
        return all_announcements(directory);
    }
    std::vector<upstream> recent;
    for (const auto& [id, each] : directory.upstreams)
        if (now - each.changed_at < recent_change_window)
            recent.push_back(each.value);
    return recent;
}

std::vector<upstream> all_announcements(const upstream_directory& directory)
{
    std::vector<upstream> values;
    values.reserve(directory.upstreams.size());
    for (const auto& [id, each] : directory.upstreams)
        values.push_back(each.value);
    return values;
}

} // namespace bergamotusher::site
