#include "site/entry_sync.hpp"

#include "base/hash.hpp"

#include <algorithm>

namespace bergamotusher::site
{

namespace
{

bool is_full_due(
    const entry_sync_options& options,
    const upstream_directory& directory,
    std::uint64_t digest,
    std::uint32_t rank,
    const entry_sync_state& state,
    time_point now)
{
    if (now - state.full_sent_at < options.full_interval)
        return false;
    // An entry that has just started has nothing that changes could be added
    // to.
    constexpr std::uint64_t empty_digest = 0;
    if (digest == empty_digest)
        return true;
    const duration differs_for = now - *state.differs_since;
    const bool settled = now - directory.changed_at >= options.settle_time;
    return (settled && differs_for >= (1 + rank) * options.full_patience) ||
           differs_for >= (1 + rank) * options.full_patience_max;
}

} // namespace

std::uint32_t sync_rank(
    const node_id& self,
    const std::set<node_id>& others,
    const node_id& entry,
    bool is_leader)
{
    if (is_leader)
        return 0;
    const std::uint64_t entry_hash = hash_of(entry.value);
    const auto order = [&](const node_id& node)
    {
        return mixed_hash(hash_of(node.value), entry_hash);
    };
    const std::uint64_t own_order = order(self);
    return 1 +
           static_cast<std::uint32_t>(std::count_if(
               others.begin(),
               others.end(),
               [&](const node_id& other) { return order(other) < own_order; }));
}

directory_update directory_update_for(
    const entry_sync_options& options,
    const upstream_directory& directory,
    std::uint64_t digest,
    std::uint32_t rank,
    entry_sync_state& state,
    time_point now)
{
    if (digest == directory.digest)
    {
        state.differs_since.reset();
        state.changes_sent_until = now;
        return {};
    }
    if (!state.differs_since)
        state.differs_since = now;
    if (now - *state.differs_since < rank * options.patience_per_rank)
        return {};
    if (is_full_due(options, directory, digest, rank, state, now))
    {
        state.full_sent_at = now;
        state.changes_sent_until = now;
        return {directory_update_scope::full, {}};
    }
    const time_point oldest = now - options.change_window;
    const time_point until = now - options.in_flight_time;
    directory_update update;
    for (const auto& [id, each] : directory.upstreams)
    {
        if (each.changed_at <= oldest || each.changed_at > until)
            continue;
        // The entry must stop sending to an upstream that leaves, so that is
        // repeated until the directories are equal. Other changes can wait for
        // the leader or the full directory.
        const bool is_urgent = each.value.state != upstream_state::ready;
        if (is_urgent ||
            (rank == 0 && each.changed_at > state.changes_sent_until))
            update.changes.push_back(each.value);
    }
    state.changes_sent_until = std::max(state.changes_sent_until, until);
    if (!update.changes.empty())
        update.scope = directory_update_scope::changes;
    return update;
}

bool should_send_directory(
    const entry_sync_options& options,
    const upstream_directory& directory,
    std::uint64_t digest,
    time_point& sent_at,
    time_point now)
{
    if (digest == directory.digest || now - sent_at < options.full_interval)
        return false;
    sent_at = now;
    return true;
}

bool should_send_site(
    const entry_sync_options& options,
    std::uint64_t version,
    std::uint64_t held_version,
    std::uint32_t rank,
    entry_sync_state& state,
    time_point now)
{
    if (held_version >= version)
        return false;
    if (state.missing_site_version != version)
    {
        state.missing_site_version = version;
        state.site_missing_since = now;
    }
    if (now - state.site_missing_since < rank * options.site_patience_per_rank)
        return false;
    if (state.sent_site_version == version &&
        now - state.site_sent_at < options.site_resend_interval)
        return false;
    if (now - state.site_sent_at < options.site_interval)
        return false;
    state.sent_site_version = version;
    state.site_sent_at = now;
    return true;
}

} // namespace bergamotusher::site
