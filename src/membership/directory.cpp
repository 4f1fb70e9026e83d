#include "membership/directory.hpp"

#include <algorithm>

namespace bergamotusher::membership
{

namespace
{

void remove_from_index(directory& dir, const upstream& value)
{
    const auto found = dir.by_service.find(value.service);
    if (found == dir.by_service.end())
        return;
    std::erase(found->second, value.id);
    if (found->second.empty())
        dir.by_service.erase(found);
}

bool advance_state(directory_entry& entry, upstream_state state)
{
    if (entry.value.state >= state)
        return false;
    entry.value.state = state;
    entry.changed = true;
    return true;
}

bool same_content(const upstream& left, upstream right)
{
    right.state = left.state;
    return left == right;
}

void renew(directory_entry& entry, time_point now)
{
    entry.lease_until = std::max(entry.lease_until, now + upstream_lease);
    entry.last_direct_renewal = now;
    entry.renewed = true;
    entry.expiry_reported = false;
}

announce_outcome join(directory& dir, const upstream& value, time_point now)
{
    directory_entry entry;
    entry.value = value;
    entry.value.state = upstream_state::serving;
    entry.changed = true;
    renew(entry, now);
    apply_notices(dir, entry);
    const directory_entry& stored = store(dir, std::move(entry));
    return stored.value.state == upstream_state::serving
               ? announce_outcome::joined
               : announce_outcome::not_serving;
}

announce_outcome
update(directory& dir, directory_entry& known, const upstream& value)
{
    if (same_content(known.value, value))
        return announce_outcome::renewed;
    directory_entry next = known;
    next.value = value;
    next.value.state = known.value.state;
    ++next.revision;
    next.changed = true;
    apply_notices(dir, next);
    store(dir, std::move(next));
    return announce_outcome::changed;
}

template<class Map>
void erase_passed(Map& notices, time_point now)
{
    std::erase_if(
        notices, [now](const auto& item) { return item.second <= now; });
}

} // namespace

directory_entry& store(directory& dir, directory_entry entry)
{
    const upstream_id id = entry.value.id;
    const auto found = dir.entries.find(id);
    const bool known = found != dir.entries.end();
    const bool moved =
        known && found->second.value.service != entry.value.service;
    if (moved)
        remove_from_index(dir, found->second.value);
    if (!known || moved)
        dir.by_service[entry.value.service].push_back(id);
    ++dir.generation;
    return dir.entries.insert_or_assign(id, std::move(entry)).first->second;
}

void apply_notices(const directory& dir, directory_entry& entry)
{
    const auto apply_deadline = [&entry](time_point deadline)
    {
        advance_state(entry, upstream_state::leaving);
        entry.reclaim_at =
            std::min(entry.reclaim_at.value_or(deadline), deadline);
    };
    if (const auto found = dir.reclaim_notices.find(entry.value.id);
        found != dir.reclaim_notices.end())
        apply_deadline(found->second);
    if (const auto found = dir.domain_reclaim_notices.find(entry.value.domain);
        found != dir.domain_reclaim_notices.end())
        apply_deadline(found->second);
}

announce_outcome announce(directory& dir, const upstream& value, time_point now)
{
    const auto found = dir.entries.find(value.id);
    if (found == dir.entries.end())
    {
        if (dir.entries.size() >= max_upstreams)
            return announce_outcome::full;
        return join(dir, value, now);
    }
    directory_entry& known = found->second;
    if (value.incarnation < known.value.incarnation)
        return announce_outcome::outdated;
    if (value.incarnation > known.value.incarnation)
        return join(dir, value, now);
    if (known.value.state != upstream_state::serving)
        return announce_outcome::not_serving;
    const bool returned = known.expiry_reported;
    renew(known, now);
    const announce_outcome outcome = update(dir, known, value);
    return returned ? announce_outcome::joined : outcome;
}

bool mark_leaving(
    directory& dir,
    const upstream_id& id,
    std::optional<std::uint64_t> incarnation)
{
    const auto found = dir.entries.find(id);
    if (found == dir.entries.end())
        return false;
    directory_entry& entry = found->second;
    if (incarnation && *incarnation != entry.value.incarnation)
        return false;
    if (advance_state(entry, upstream_state::leaving))
        ++dir.generation;
    return true;
}

void add_reclaim_notice(
    directory& dir, const upstream_id& id, time_point deadline)
{
    const auto known = dir.reclaim_notices.try_emplace(id, deadline).first;
    known->second = std::min(known->second, deadline);
    const auto found = dir.entries.find(id);
    if (found == dir.entries.end())
        return;
    apply_notices(dir, found->second);
    ++dir.generation;
}

std::vector<upstream_id> add_reclaim_notice(
    directory& dir, const failure_domain& domain, time_point deadline)
{
    const auto known =
        dir.domain_reclaim_notices.try_emplace(domain, deadline).first;
    known->second = std::min(known->second, deadline);
    std::vector<upstream_id> leaving;
    for (auto& [id, entry] : dir.entries)
    {
        if (entry.value.domain != domain)
            continue;
        apply_notices(dir, entry);
        if (entry.value.state == upstream_state::leaving)
            leaving.push_back(id);
    }
    ++dir.generation;
    std::sort(leaving.begin(), leaving.end());
    return leaving;
}

bool mark_lost(directory& dir, const upstream_id& id)
{
    const auto found = dir.entries.find(id);
    if (found == dir.entries.end())
        return false;
    if (advance_state(found->second, upstream_state::lost))
        ++dir.generation;
    return true;
}

std::vector<upstream_id> expire(directory& dir, time_point now)
{
    std::vector<upstream_id> expired;
    for (auto item = dir.entries.begin(); item != dir.entries.end();)
    {
        directory_entry& entry = item->second;
        if (now >= entry.lease_until && !entry.expiry_reported)
        {
            entry.expiry_reported = true;
            expired.push_back(item->first);
        }
        if (now >= entry.lease_until + record_retention)
        {
            remove_from_index(dir, entry.value);
            item = dir.entries.erase(item);
            ++dir.generation;
        }
        else
            ++item;
    }
    erase_passed(dir.reclaim_notices, now);
    erase_passed(dir.domain_reclaim_notices, now);
    std::sort(expired.begin(), expired.end());
    return expired;
}

bool accepts_new_work(const directory_entry& entry, time_point now)
{
    return entry.value.state == upstream_state::serving &&
           now < entry.lease_until;
}

upstream_state state_of(const directory_entry& entry, time_point now)
{
    return now < entry.lease_until ? entry.value.state : upstream_state::lost;
}

const directory_entry* find(const directory& dir, const upstream_id& id)
{
    const auto found = dir.entries.find(id);
    return found == dir.entries.end() ? nullptr : &found->second;
}

bool is_domain_lost(
    const directory& dir, const failure_domain& domain, time_point now)
{
    std::size_t members = 0;
    for (const auto& [id, entry] : dir.entries)
    {
        if (entry.value.domain != domain)
            continue;
        if (state_of(entry, now) != upstream_state::lost)
            return false;
        ++members;
    }
    return members >= 2;
}

} // namespace bergamotusher::membership
