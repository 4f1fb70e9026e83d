// The part of the control service that passes on the limits that upstreams
// name, and tells entries their place among those that share them.
#include "base/clock.hpp"
#include "site/control_service.hpp"
#include "site/site_codec.hpp"
#include "wire/site.pb.h"

namespace bergamotusher::site
{

namespace
{

namespace pb = wire::site;
using observe::decision;
using observe::log_line;

/// An entry is counted for sharing limits for this long after its last report.
constexpr duration limit_share_timeout = 10s;

} // namespace

void control_service::read_limits(
    const pb::entry_report& report, time_point now)
{
    for (const pb::stated_limit& each : report.limits())
    {
        const auto statement = site::read(each);
        if (!statement || !merge(upstream_limits_, *statement))
            continue;
        upstream_limits_changed_ = true;
        log_.write(
            log_line(decision::upstream_limited)
                .with("upstream", statement->upstream.value)
                .with("requests_per_s", statement->requests_per_s.value_or(-1))
                .with("read_at_ms", statement->read_at_ms),
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
    std::uint32_t entries = 0;
    std::uint32_t number = 0;
    for (const auto& [id, each] : entries_)
    {
        if (now - each.heard_at >= limit_share_timeout)
            continue;
        ++entries;
        if (id == entry)
            number = entries;
    }
    report.set_entries(entries);
    if (is_leader_ && now - started_at_ >= options_.entry_warm_up)
        report.set_entry_number(number);
}

void control_service::drop_obsolete_limits(time_point now)
{
    const std::int64_t true_ms = true_time_ms(clock_, time_of_day(), now);
    const std::int64_t oldest_ms =
        true_ms - options_.withdrawn_limit_retention / 1ms;
    drop_obsolete(
        upstream_limits_,
        [&](const stated_limit& each)
        {
            return directory_.upstreams.count(each.upstream) > 0 ||
                   each.read_at_ms >= oldest_ms;
        },
        oldest_ms);
}

} // namespace bergamotusher::site
