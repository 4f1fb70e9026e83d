// The directory part of the control service: announcements of upstreams,
// telling them to the other control nodes and to entries, and the entries for
// callers.
#include "base/clock.hpp"
#include "site/control_service.hpp"
#include "site/site_codec.hpp"

#include <algorithm>
#include <utility>

namespace bergamotusher::site
{

using observe::decision;
using observe::log_line;

namespace
{

std::string encode_changes(const std::vector<upstream>& changes)
{
    directory_message message;
    message.upstreams.reserve(changes.size());
    for (const upstream& each : changes)
        message.upstreams.push_back({each, {}});
    return encode_directory(message);
}

} // namespace

void control_service::announce(
    const upstream& announcement, acknowledgement done)
{
    const time_point now = uptime();
    if (is_outdated(site_->departures, announcement))
        return done(true);
    if (announcement.state == upstream_state::ready)
    {
        // Without an acknowledgement the upstream also asks a node whose state
        // is confirmed.
        if (ready())
            merge_announcement(announcement, now);
        else
            held_announcements_[announcement.id] = announcement;
        return done(ready());
    }
    merge_announcement(announcement, now);
    record_departure(
        announcement.id,
        {announcement.started_ms, announcement.sequence, false, 0},
        std::move(done));
}

void control_service::merge_held_announcements(time_point now)
{
    if (!ready())
        return;
    for (const auto& [id, announcement] :
         std::exchange(held_announcements_, {}))
        if (!is_outdated(site_->departures, announcement))
            merge_announcement(announcement, now);
}

void control_service::merge_announcement(
    const upstream& announcement, time_point now)
{
    const merge_outcome outcome = merge(directory_, announcement, now);
    if (outcome == merge_outcome::stale)
        return;
    if (outcome == merge_outcome::refreshed)
    {
        refreshed_upstreams_[announcement.id] = announcement;
        return;
    }
    log_.write(
        log_line(decision::upstream_changed)
            .with("upstream", announcement.id.value)
            .with("service", announcement.service.value)
            .with("address", announcement.address)
            .with("version", announcement.version.value)
            .with("state", to_name(announcement.state))
            .with("sequence", announcement.sequence)
            .with("started_ms", announcement.started_ms)
            .with("reclaimable", announcement.reclaimable ? 1 : 0)
            .with("leaves_in_ms", announcement.leaves_in)
            .with("from", "upstream"),
        now);
    broadcast_soon(announcement, now);
}

void control_service::withdraw(
    const upstream_id& id,
    std::int64_t started_ms,
    std::uint64_t sequence,
    acknowledgement done)
{
    const time_point now = uptime();
    if (mark_gone(directory_, id, started_ms, sequence, now))
    {
        log_.write(
            log_line(decision::upstream_changed)
                .with("upstream", id.value)
                .with("state", "gone")
                .with("from", "upstream"),
            now);
        broadcast_soon(directory_.upstreams.at(id).value, now);
    }
    const auto known = directory_.upstreams.find(id);
    if (started_ms == 0)
    {
        // Without the incarnation nothing tells which announcements to reject.
        if (known == directory_.upstreams.end())
            return done(false);
        started_ms = known->second.value.started_ms;
    }
    record_departure(id, {started_ms, sequence, true, 0}, std::move(done));
}

void control_service::record_departure(
    const upstream_id& id, const departure& value, acknowledgement done)
{
    if (is_recorded(site_->departures, id, value))
        return done(true);
    departure_notices_.push_back(
        {id, value, std::move(done), uptime() + options_.change_timeout});
    enqueue(departures_, id, value);
    propose_departures();
}

void control_service::propose_departures()
{
    const departure_map proposed = start_change(departures_);
    if (proposed.empty())
        return;
    propose_change(
        encode_record_departures(proposed, time_of_day()),
        [this, proposed](const std::optional<command_outcome>& outcome)
        {
            end_change(departures_);
            // Otherwise the next tick proposes those that still wait: a change
            // that is refused at once would be proposed again without end.
            if (!outcome || outcome->wrong)
                return;
            acknowledge_departures(proposed);
            propose_departures();
        });
}

void control_service::acknowledge_departures(const departure_map& recorded)
{
    const auto first_recorded = std::stable_partition(
        departure_notices_.begin(),
        departure_notices_.end(),
        [&](const departure_notice& notice)
        { return !is_recorded(recorded, notice.upstream, notice.value); });
    const std::vector<departure_notice> answered(
        std::make_move_iterator(first_recorded),
        std::make_move_iterator(departure_notices_.end()));
    departure_notices_.erase(first_recorded, departure_notices_.end());
    for (const departure_notice& notice : answered)
        notice.done(true);
}

void control_service::retry_departures(time_point now)
{
    const auto first_expired = std::stable_partition(
        departure_notices_.begin(),
        departure_notices_.end(),
        [&](const departure_notice& notice) { return notice.deadline > now; });
    const std::vector<departure_notice> expired(
        std::make_move_iterator(first_expired),
        std::make_move_iterator(departure_notices_.end()));
    departure_notices_.erase(first_expired, departure_notices_.end());
    for (const departure_notice& notice : expired)
    {
        log_.write(
            log_line(decision::departure_not_recorded)
                .with("upstream", notice.upstream.value),
            now);
        notice.done(false);
    }
    for (const departure_notice& notice : departure_notices_)
        enqueue(departures_, notice.upstream, notice.value);
    propose_departures();
}

void control_service::apply_departures(time_point now)
{
    std::vector<upstream> changed;
    for (const auto& [id, left] : site_->departures)
    {
        const auto known = directory_.upstreams.find(id);
        if (known == directory_.upstreams.end() ||
            !is_outdated(site_->departures, known->second.value))
            continue;
        upstream value = known->second.value;
        value.started_ms = left.started_ms;
        value.sequence = std::max(value.sequence, left.sequence);
        value.state =
            left.is_gone ? upstream_state::gone : upstream_state::draining;
        if (merge(directory_, value, now) != merge_outcome::changed)
            continue;
        log_.write(
            log_line(decision::upstream_changed)
                .with("upstream", id.value)
                .with("state", to_name(value.state))
                .with("sequence", value.sequence)
                .with("from", "site"),
            now);
        changed.push_back(std::move(value));
    }
    // The node that was told of a departure has told it to all; the leader also
    // does, in case that node was lost.
    if (is_leader_)
        for (const upstream& each : changed)
            broadcast_soon(each, now);
}

void control_service::broadcast(const std::vector<upstream>& updates)
{
    const std::string body = encode_changes(updates);
    for (const node_id& node : control_nodes())
        send(node, wire::site_directory, body);
    for (const auto& [id, entry] : entries_)
        send(id, wire::site_directory, body);
}

void control_service::broadcast_soon(const upstream& update, time_point now)
{
    const bool is_scheduled = !pending_updates_.empty();
    pending_updates_[update.id] = update;
    if (is_scheduled)
        return;
    const duration wait =
        updates_sent_at_ + options_.announcement_batch_interval - now;
    if (wait <= duration::zero())
        return flush_updates();
    flush_timer_.expires_after(wait);
    flush_timer_.async_wait(
        [this](const boost::system::error_code& error)
        {
            if (!error)
                flush_updates();
        });
}

void control_service::flush_updates()
{
    updates_sent_at_ = uptime();
    std::vector<upstream> updates;
    updates.reserve(pending_updates_.size());
    for (auto& [id, each] : std::exchange(pending_updates_, {}))
        updates.push_back(std::move(each));
    broadcast(updates);
}

void control_service::share_refreshes(time_point now)
{
    directory_message message;
    message.digest = directory_.digest;
    message.upstreams.reserve(refreshed_upstreams_.size());
    for (auto& [id, each] : std::exchange(refreshed_upstreams_, {}))
        message.upstreams.push_back({std::move(each), {}});
    // A node that has just started asks with its digest for the directories of
    // the others: they also know which upstreams have left.
    if (message.upstreams.empty() &&
        now - started_at_ > options_.directory_warm_up)
        return;
    const std::string body = encode_directory(message);
    for (const node_id& node : control_nodes())
        send(node, wire::site_directory, body);
}

const std::string& control_service::full_directory(time_point now)
{
    constexpr duration max_age = 200ms;
    if (full_directory_.empty() ||
        full_directory_digest_ != directory_.digest ||
        now - full_directory_at_ > max_age)
    {
        directory_message message = whole_directory(directory_, now);
        // Upstreams announce themselves once in an interval.
        message.is_settled =
            now - started_at_ > 2 * options_.announcement_interval;
        message.is_complete =
            is_leader_ && now - started_at_ > options_.directory_warm_up;
        full_directory_ = encode_directory(message);
        full_directory_digest_ = directory_.digest;
        full_directory_at_ = now;
    }
    return full_directory_;
}

std::uint32_t control_service::rank_for(const node_id& entry) const
{
    const bool leads = status_of(*control_).role == consensus::role::leader;
    return sync_rank(options_.self, control_nodes(), entry, leads);
}

void control_service::send_directory_update(
    const node_id& to, std::uint64_t digest, time_point now)
{
    const directory_update update = directory_update_for(
        options_.entry_sync,
        directory_,
        digest,
        rank_for(to),
        entries_[to].sync,
        now);
    switch (update.scope)
    {
    case directory_update_scope::none:
        return;
    case directory_update_scope::changes:
        return send(to, wire::site_directory, encode_changes(update.changes));
    case directory_update_scope::full:
        return send(to, wire::site_directory, full_directory(now));
    }
}

void control_service::on_directory(const incoming_message& message)
{
    const measured_step step(steps_, "read a directory");
    const auto directory = decode_directory(message.body);
    if (!directory)
        return;
    const time_point now = uptime();
    for (const auto& [value, age] : directory->upstreams)
        if (!is_outdated(site_->departures, value) &&
            merge(directory_, value, now, age) == merge_outcome::changed)
            log_.write(
                log_line(decision::upstream_changed)
                    .with("upstream", value.id.value)
                    .with("state", to_name(value.state))
                    .with("sequence", value.sequence)
                    .with("from", message.from.value),
                now);
    // Entries were told by the sender. Those that miss a change get it with the
    // reply to their next report.
    const bool is_refresh = !directory->is_complete && directory->digest != 0;
    const bool asks = is_refresh || directory->upstreams.empty();
    if (asks && should_send_directory(
                    options_.entry_sync,
                    directory_,
                    directory->digest,
                    directory_shared_at_[message.from],
                    now))
        send(message.from, wire::site_directory, full_directory(now));
}

std::vector<std::string>
control_service::entries_for(const failure_domain& domain) const
{
    const time_point now = uptime();
    std::vector<std::string> near;
    std::vector<std::string> far;
    for (const auto& [id, entry] : entries_)
        if (entry.ready && now - entry.heard_at < options_.entry_timeout)
            (entry.domain == domain ? near : far)
                .push_back(entry.caller_address);
    near.insert(near.end(), far.begin(), far.end());
    return near;
}

} // namespace bergamotusher::site
