#include "site/upstream_directory.hpp"

#include <algorithm>
#include <tuple>

namespace bergamotusher::site
{

namespace
{

std::size_t mixed(std::size_t seed, std::size_t value)
{
    constexpr std::size_t golden_ratio = 0x9e3779b97f4a7c15U;
    return seed ^ (value + golden_ratio + (seed << 6U) + (seed >> 2U));
}

/// What nodes agree on; not how long ago it was said.
std::uint64_t digest_of(const upstream& value)
{
    const std::hash<std::string> text;
    std::size_t digest = text(value.id.value);
    digest = mixed(digest, text(value.service.value));
    digest = mixed(digest, text(value.address));
    digest = mixed(digest, text(value.version.value));
    digest = mixed(digest, static_cast<std::size_t>(value.state));
    return mixed(digest, static_cast<std::size_t>(value.started_ms));
}

bool same_facts(const upstream& a, const upstream& b)
{
    return std::tie(a.service, a.address, a.domain, a.version, a.slots) ==
               std::tie(b.service, b.address, b.domain, b.version, b.slots) &&
           a.state == b.state && a.started_ms == b.started_ms &&
           a.reclaimable == b.reclaimable;
}

/// Announcements of one incarnation never lead back to an earlier state.
bool is_newer(const upstream& news, const upstream& known)
{
    if (news.started_ms != known.started_ms)
        return news.started_ms > known.started_ms;
    if (news.state != known.state && known.state == upstream_state::gone)
        return false;
    return news.sequence > known.sequence ||
           (news.sequence == known.sequence && news.state > known.state);
}

} // namespace

merge_outcome
merge(upstream_directory& directory, const upstream& news, time_point now)
{
    const auto found = directory.upstreams.find(news.id);
    if (found == directory.upstreams.end())
    {
        directory.upstreams.emplace(news.id, known_upstream{news, now, now});
        directory.digest ^= digest_of(news);
        return merge_outcome::changed;
    }
    known_upstream& known = found->second;
    if (!is_newer(news, known.value))
        return merge_outcome::stale;
    const bool same = same_facts(news, known.value);
    directory.digest ^= digest_of(known.value) ^ digest_of(news);
    known.value = news;
    known.heard_at = now;
    if (same)
        return merge_outcome::refreshed;
    known.changed_at = now;
    return merge_outcome::changed;
}

bool remove(
    upstream_directory& directory,
    const upstream_id& id,
    std::int64_t started_ms,
    std::uint64_t sequence,
    time_point now)
{
    const auto found = directory.upstreams.find(id);
    if (found == directory.upstreams.end())
        return false;
    upstream news = found->second.value;
    // A notice that does not name the start speaks of the newest one.
    if (started_ms != 0 && started_ms < news.started_ms)
        return false;
    news.started_ms = std::max(news.started_ms, started_ms);
    news.sequence = std::max(news.sequence, sequence);
    news.state = upstream_state::gone;
    return merge(directory, news, now) == merge_outcome::changed;
}

void forget(upstream_directory& directory, duration keep, time_point now)
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

std::vector<upstream_id>
silent(const upstream_directory& directory, duration patience, time_point now)
{
    std::vector<upstream_id> found;
    for (const auto& [id, each] : directory.upstreams)
        if (each.value.state != upstream_state::gone &&
            now - each.heard_at > patience)
            found.push_back(id);
    return found;
}

std::vector<upstream> news_for(
    const upstream_directory& directory,
    std::uint64_t digest,
    time_point& sent_whole_at,
    time_point now)
{
    if (digest == directory.digest)
        return {};
    if (now - sent_whole_at > whole_directory_interval)
    {
        sent_whole_at = now;
        return all(directory);
    }
    std::vector<upstream> recent;
    for (const auto& [id, each] : directory.upstreams)
        if (now - each.changed_at < recent_change)
            recent.push_back(each.value);
    return recent;
}

std::vector<upstream> all(const upstream_directory& directory)
{
    std::vector<upstream> values;
    values.reserve(directory.upstreams.size());
    for (const auto& [id, each] : directory.upstreams)
        values.push_back(each.value);
    return values;
}

} // namespace bergamotusher::site
