// The metrics of the control service.
#include "base/clock.hpp"
#include "site/control_service.hpp"

#include <algorithm>
#include <sstream>

namespace bergamotusher::site
{

std::string control_service::metrics() const
{
    const control_status status = status_of(*control_);
    std::ostringstream out;
    const auto line = [&](const char* name,
                          const char* type,
                          const char* help,
                          std::uint64_t value)
    {
        out << "# HELP bergamotusher_" << name << ' ' << help
            << "\n# TYPE bergamotusher_" << name << ' ' << type
            << "\nbergamotusher_" << name << ' ' << value << '\n';
    };
    line("control_term", "gauge", "Term of the log.", status.term);
    line(
        "control_leads",
        "gauge",
        "1 where this node leads.",
        is_leader_ ? 1 : 0);
    line("control_applied", "counter", "Entries applied.", status.applied);
    line(
        "control_commits_total",
        "counter",
        "Own proposals committed.",
        status.committed);
    line(
        "control_unknown_total",
        "counter",
        "Own proposals without a clear end.",
        status.unknown);
    line(
        "control_elections_total",
        "counter",
        "Elections begun here.",
        status.elections);
    line("control_syncs_total", "counter", "Syncs of the log.", status.syncs);
    line(
        "control_log_entries",
        "gauge",
        "Entries of the log held in memory.",
        status.log_entries);
    line(
        "control_log_bytes",
        "gauge",
        "Bytes of the log held in memory.",
        status.log_bytes);
    line(
        "control_snapshots_total",
        "counter",
        "Snapshots taken.",
        status.snapshots_taken);
    line(
        "control_abandoned_confirmations_total",
        "counter",
        "Rounds of queries for a confirmation without a result.",
        status.abandoned_confirmations);
    line(
        "site_version",
        "gauge",
        "Version of the site applied.",
        site_->version);
    line(
        "evacuated_domains",
        "gauge",
        "Failure domains whose upstreams get no request.",
        site_->evacuated.domains.size());
    line("upstreams", "gauge", "Upstreams known.", directory_.upstreams.size());
    line(
        "upstreams_ready",
        "gauge",
        "Upstreams that accept new requests.",
        static_cast<std::uint64_t>(std::count_if(
            directory_.upstreams.begin(),
            directory_.upstreams.end(),
            [](const auto& item)
            { return item.second.value.state == upstream_state::ready; })));
    line(
        "limit_ceilings",
        "gauge",
        "Accounts with a recorded ceiling of their limit.",
        site_->limit_ceilings.size());
    line(
        "limit_ceilings_proposed_total",
        "counter",
        "Changes of ceilings proposed here.",
        ceilings_proposed_);
    line("entries", "gauge", "Entries known.", entries_.size());
    line(
        "stale_messages_total",
        "counter",
        "Messages dropped as of an older incarnation of their sender.",
        status_of(*peers_).stale_incarnation);
    line(
        "log_lines_dropped_total",
        "counter",
        "Log lines dropped.",
        log_.dropped());
    return out.str();
}

control_service::work_totals control_service::work_so_far(time_point now) const
{
    const peers_status peers = status_of(*peers_);
    work_totals totals;
    totals.at = now;
    totals.process = process_processor_time();
    totals.loop = duration(steps_.total_us.load());
    totals.control = duration(steps_of(*control_).total_us.load());
    for (const peer_traffic& each : peers.sent)
    {
        totals.sent_messages += each.messages;
        totals.sent_bytes += each.bytes;
    }
    for (const peer_traffic& each : peers.received)
        totals.received_messages += each.messages;
    totals.dropped_messages =
        peers.dropped_unreachable + peers.dropped_queue_full;
    return totals;
}

void control_service::log_lateness(time_point now)
{
    constexpr duration threshold = 250ms;
    const work_totals totals = work_so_far(now);
    const work_totals before = std::exchange(work_logged_, totals);
    const duration longest = std::exchange(longest_tick_interval_, {});
    if (longest < threshold || before.at == time_point{})
        return;
    log_.write(
        observe::log_line(observe::decision::loop_was_late)
            .with("longest_tick_interval_ms", longest)
            .with("span_ms", now - before.at)
            .with("process_processor_ms", totals.process - before.process)
            .with("loop_processor_ms", totals.loop - before.loop)
            .with("control_processor_ms", totals.control - before.control)
            .with("sent", totals.sent_messages - before.sent_messages)
            .with("sent_bytes", totals.sent_bytes - before.sent_bytes)
            .with(
                "received", totals.received_messages - before.received_messages)
            .with("dropped", totals.dropped_messages - before.dropped_messages)
            .with("proposals_waiting", std::uint64_t{pending_.size()}),
        now);
}

} // namespace bergamotusher::site
