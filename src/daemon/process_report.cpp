#include "daemon/process_report.hpp"

#include <nlohmann/json.hpp>

#include <sstream>

namespace bergamotusher
{

namespace
{

using nlohmann::json;

json names_of(const std::vector<node_id>& nodes)
{
    json list = json::array();
    for (const node_id& one : nodes)
        list.push_back(one.value);
    return list;
}

json control_json(const control_status& control)
{
    json result{
        {"role", to_name(control.role)},
        {"term", control.term},
        {"leader", control.leader.value},
        {"commit", control.commit},
        {"applied", control.applied},
        {"snapshot", control.snapshot_index},
        {"voters", names_of(control.members.voters)},
        {"learners", names_of(control.members.learners)}};
    if (control.failed)
        result["failed"] = std::string(answer_of(control.failed->kind).name) +
                           ": " + control.failed->detail;
    return result;
}

// Writes one counter as Prometheus text.
struct metric_writer
{
    std::ostringstream out;

    void counter(const char* name, std::uint64_t value)
    {
        out << "# TYPE bergamotusher_" << name << " counter\nbergamotusher_"
            << name << ' ' << value << '\n';
    }
    void gauge(const char* name, std::uint64_t value)
    {
        out << "# TYPE bergamotusher_" << name << " gauge\nbergamotusher_"
            << name << ' ' << value << '\n';
    }
};

void write_requests(
    metric_writer& to, const serving::life_cycle_counters& counters)
{
    to.counter("requests_accepted_total", counters.accepted);
    to.counter("requests_refused_total", counters.refused);
    to.counter("requests_finished_total", counters.finished);
    to.counter("requests_failed_total", counters.failed);
    to.counter("attempts_total", counters.attempts);
    to.counter("retries_total", counters.retries);
    to.counter("resumes_total", counters.resumes);
    to.counter("moved_off_leaving_total", counters.moves);
    to.counter("resume_recomputed_tokens_total", counters.recomputed_tokens);
    to.counter("late_inputs_total", counters.late_inputs);
    to.counter("duplicate_tokens_total", counters.duplicate_tokens);
    to.counter("malformed_answers_total", counters.malformed_answers);
    to.counter("retry_budget_waits_total", counters.budget_waits);
    to.counter("taken_up_total", counters.taken_up);
    to.counter("handed_over_total", counters.handed_over);
    to.counter("quarantined_total", counters.quarantined);
    to.counter("unknown_outcomes_total", counters.unknown_outcomes);
}

void write_admission(metric_writer& to, const serving_view& serving)
{
    to.counter("admission_admitted_total", serving.admission.admitted);
    to.counter("admission_queued_total", serving.admission.queued);
    to.counter("admission_rate_limited_total", serving.admission.rate_limited);
    to.counter("admission_overloaded_total", serving.admission.overloaded);
    to.counter("admission_dropped_total", serving.admission.dropped);
    to.counter("refused_at_gate_total", serving.refused_at_gate);
    to.counter("malformed_messages_total", serving.malformed_messages);
}

void write_http(metric_writer& to, const http_counters& http)
{
    to.counter("connections_accepted_total", http.accepted);
    to.gauge("connections_open", http.open);
    to.counter("http_requests_total", http.requests);
    to.counter("http_malformed_total", http.malformed);
    to.counter("http_too_large_total", http.too_large);
    to.counter("http_slow_senders_total", http.slow_senders);
    to.counter("http_slow_readers_total", http.slow_readers);
    to.counter("connections_over_limit_total", http.over_limit);
}

void write_control(metric_writer& to, const control_status& control)
{
    to.gauge("control_term", control.term);
    to.gauge("control_commit_index", control.commit);
    to.gauge("control_applied_index", control.applied);
    to.counter("control_proposals_total", control.proposals);
    to.counter("control_forwarded_total", control.forwarded);
    to.counter("control_unknown_total", control.unknown);
    to.counter("control_elections_total", control.elections);
    to.counter("control_snapshots_total", control.snapshots_taken);
    to.counter("control_syncs_total", control.syncs);
    to.counter("control_stored_bytes_total", control.stored_bytes);
    to.counter("control_dropped_messages_total", control.dropped_messages);
}

void write_traffic(
    metric_writer& to,
    const char* name,
    const std::array<peer_traffic, message_kinds>& traffic)
{
    for (const char* unit : {"messages", "bytes"})
    {
        to.out << "# TYPE bergamotusher_" << name << '_' << unit
               << "_total counter\n";
        for (std::size_t i = 0; i < traffic.size(); ++i)
        {
            const bool messages = unit == std::string("messages");
            to.out << "bergamotusher_" << name << '_' << unit
                   << "_total{kind=\""
                   << wire::message_kind_Name(
                          static_cast<wire::message_kind>(i))
                   << "\"} "
                   << (messages ? traffic[i].messages : traffic[i].bytes)
                   << '\n';
        }
    }
}

void write_peers(metric_writer& to, const peers_status& peers)
{
    write_traffic(to, "peer_sent", peers.sent);
    write_traffic(to, "peer_received", peers.received);
    to.counter("peer_unreachable_total", peers.dropped_unreachable);
    to.counter("peer_ring_full_total", peers.dropped_ring_full);
    to.counter("peer_refused_connections_total", peers.refused_connections);
    to.counter("peer_malformed_total", peers.malformed);
    to.counter("peer_unknown_sender_total", peers.unknown_sender);
    to.counter("peer_stale_incarnation_total", peers.stale_incarnation);
}

} // namespace

std::string status_json(
    const settings& values,
    const serving_view& serving,
    const control_status& control,
    const supervisor& tree)
{
    json duties = json::array();
    for (const auto& one : tree.duties())
        duties.push_back(
            {{"name", one->name()}, {"restarts", one->restarts()}});
    return json{
        {"node", values.node.value},
        {"region", values.region},
        {"failure_domain", values.domain.value},
        {"version", BERGAMOTUSHER_VERSION},
        {"revision", serving.revision},
        {"ready", serving.ready},
        {"draining", serving.draining},
        {"open_requests", serving.open_requests},
        {"control", control_json(control)},
        {"duties", duties}}
        .dump();
}

std::string metrics_text(const metrics_sources& from)
{
    metric_writer to;
    to.gauge("open_requests", from.serving.open_requests);
    to.gauge("revision_in_force", from.serving.revision);
    write_requests(to, from.serving.counters);
    write_admission(to, from.serving);
    write_http(to, from.caller_http);
    to.counter("callers_unauthenticated_total", from.callers.unauthenticated);
    to.counter(
        "account_connections_refused_total",
        from.callers.over_connection_limit);
    to.counter("dispatched_total", from.upstreams.dispatched);
    to.counter("cancelled_total", from.upstreams.cancelled);
    to.counter("upstream_connections_total", from.upstreams.connected);
    to.counter("crossed_answers_total", from.upstreams.crossed_answers);
    to.counter("admin_unauthenticated_total", from.admin.unauthenticated);
    to.counter("announcements_total", from.admin.announcements);
    to.counter("bad_announcements_total", from.admin.bad_announcements);
    write_control(to, from.control);
    write_peers(to, from.peers);
    return to.out.str();
}

} // namespace bergamotusher
