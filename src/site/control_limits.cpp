// The part of the control service that passes on the limits that upstreams
// name, tells entries their place among those that share them, and replicates
// the ceilings of the accounts' limits.
#include "base/clock.hpp"
#include "site/control_service.hpp"
#include "site/site_codec.hpp"
#include "wire/site.pb.h"

#include <algorithm>

namespace bergamotusher::site
{

namespace
{

namespace pb = wire::site;
using observe::decision;
using observe::log_line;

/// An entry is counted for sharing the accounts' limits for this long after its
/// last report.
constexpr duration limit_share_timeout = 10s;
/// An entry has a seat for this long after its last report: several report
/// intervals, and longer than a restart.
constexpr duration seat_timeout = 3s;

} // namespace

void control_service::read_limits(
    const pb::entry_report& report, time_point now)
{
    const std::int64_t now_ms = true_time_ms(clock_, time_of_day(), now);
    for (const stated_limit& each : site::read_limits(report.limits(), now_ms))
    {
        if (!merge(upstream_limits_, each))
            continue;
        upstream_limits_changed_ = true;
        log_.write(
            log_line(decision::upstream_limited)
                .with("upstream", each.upstream.value)
                .with("requests_per_s", each.requests_per_s.value_or(-1))
                .with("read_at_ms", each.read_at_ms),
            now);
    }
}

void control_service::write_limits(
    pb::control_report& report, const known_entry& entry) const
{
    report.set_limit_digest(upstream_limits_.digest);
    if (entry.limit_digest == upstream_limits_.digest)
        return;
    for (const stated_limit& each : statements(upstream_limits_))
        write(*report.add_limits(), each);
}

void control_service::write_seat(
    pb::control_report& report, const node_id& entry, time_point now) const
{
    std::uint32_t seats = 0;
    std::uint32_t number = 0;
    for (const auto& [id, each] : entries_)
    {
        if (now - each.heard_at >= seat_timeout)
            continue;
        ++seats;
        if (id == entry)
            number = seats;
    }
    report.set_entries(sharing_entries(now));
    // After a pause of this process the entries may seem to be silent, and
    // another node may lead.
    if (is_leader_ && now >= entries_known_at_ && order_fence(*control_, now))
    {
        report.set_entry_number(number);
        report.set_entry_count(seats);
    }
}

void control_service::drop_obsolete_limits(time_point now)
{
    drop_obsolete(
        upstream_limits_,
        directory_,
        true_time_ms(clock_, time_of_day(), now) -
            options_.withdrawn_limit_retention / 1ms);
}

std::uint32_t control_service::sharing_entries(time_point now) const
{
    const auto heard = static_cast<std::uint32_t>(std::count_if(
        entries_.begin(),
        entries_.end(),
        [&](const auto& entry)
        { return now - entry.second.heard_at < limit_share_timeout; }));
    // A node that has just taken over may not have heard of all yet.
    const bool has_heard_long = now - leader_since_ >= limit_share_timeout;
    return has_heard_long ? heard : std::max(heard, site_->limit_entries);
}

void control_service::update_ceilings(time_point now)
{
    if (is_replicating_ceilings_)
        return;
    const std::uint32_t entries = sharing_entries(now);
    const admission::account_amounts changed = find_new_ceilings(
        limit_usage_, options_.limits, limit_totals_, entries, now);
    if (changed.empty() && entries == site_->limit_entries)
        return;
    propose_ceilings(limit_usage_, changed);
    is_replicating_ceilings_ = true;
    ceilings_proposed_ += changed.size();
    propose_change(
        encode_set_limit_ceilings(changed, entries, time_of_day()),
        [this](const std::optional<command_outcome>&)
        { is_replicating_ceilings_ = false; });
}

} // namespace bergamotusher::site
