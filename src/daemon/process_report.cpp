#include "daemon/process_report.hpp"

#include <nlohmann/json.hpp>

#include <sstream>

namespace bergamotusher
{

namespace
{

using nlohmann::json;

json ids_json(const std::vector<node_id>& nodes)
{
    json list = json::array();
    for (const node_id& node : nodes)
        list.push_back(node.value);
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
        {"voters", ids_json(control.members.voters)},
        {"learners", ids_json(control.members.learners)}};
    if (control.failed)
        result["failed"] =
            std::string(error_answer_for(control.failed->kind).name) + ": " +
            control.failed->detail;
    return result;
}

// Writes metrics in the Prometheus text format.
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
    metric_writer& writer, const serving::life_cycle_counters& counters)
{
    writer.counter("requests_accepted_total", counters.accepted);
    writer.counter("requests_refused_total", counters.refused);
    writer.counter("requests_finished_total", counters.finished);
    writer.counter("requests_failed_total", counters.failed);
    writer.counter("attempts_total", counters.attempts);
    writer.counter("retries_total", counters.retries);
    writer.counter("resumes_total", counters.resumes);
    writer.counter("moved_off_leaving_total", counters.moves);
    writer.counter(
        "resume_recomputed_tokens_total", counters.recomputed_tokens);
    writer.counter("late_inputs_total", counters.late_inputs);
    writer.counter("duplicate_tokens_total", counters.duplicate_tokens);
    writer.counter("malformed_answers_total", counters.malformed_answers);
    writer.counter("retry_budget_waits_total", counters.budget_waits);
    writer.counter("taken_up_total", counters.taken_up);
    writer.counter("handed_over_total", counters.handed_over);
    writer.counter("quarantined_total", counters.quarantined);
    writer.counter("unknown_outcomes_total", counters.unknown_outcomes);
}

void write_admission(metric_writer& writer, const serving_snapshot& serving)
{
    writer.counter("admission_admitted_total", serving.admission.admitted);
    writer.counter("admission_queued_total", serving.admission.queued);
    writer.counter(
        "admission_rate_limited_total", serving.admission.rate_limited);
    writer.counter("admission_overloaded_total", serving.admission.overloaded);
    writer.counter("admission_dropped_total", serving.admission.dropped);
    writer.counter("refused_at_gate_total", serving.rejected_before_start);
    writer.counter("malformed_messages_total", serving.malformed_messages);
}

void write_http(metric_writer& writer, const http_counters& http)
{
    writer.counter("connections_accepted_total", http.accepted);
    writer.gauge("connections_open", http.open);
    writer.counter("http_requests_total", http.requests);
    writer.counter("http_malformed_total", http.malformed);
    writer.counter("http_too_large_total", http.too_large);
    writer.counter("http_slow_senders_total", http.slow_senders);
    writer.counter("http_slow_readers_total", http.slow_readers);
    writer.counter("connections_over_limit_total", http.over_limit);
}

void write_control(metric_writer& writer, const control_status& control)
{
    writer.gauge("control_term", control.term);
    writer.gauge("control_commit_index", control.commit);
    writer.gauge("control_applied_index", control.applied);
    writer.counter("control_proposals_total", control.proposals);
    writer.counter("control_forwarded_total", control.forwarded);
    writer.counter("control_unknown_total", control.unknown);
    writer.counter("control_elections_total", control.elections);
    writer.counter("control_snapshots_total", control.snapshots_taken);
    writer.counter("control_syncs_total", control.syncs);
    writer.counter("control_stored_bytes_total", control.stored_bytes);
    writer.counter("control_dropped_messages_total", control.dropped_messages);
}

void write_traffic(
    metric_writer& writer,
    const char* name,
    const std::array<peer_traffic, message_kind_count>& traffic)
{
    for (const char* unit : {"messages", "bytes"})
    {
        writer.out << "# TYPE bergamotusher_" << name << '_' << unit
                   << "_total counter\n";
        for (std::size_t i = 0; i < traffic.size(); ++i)
        {
            const bool messages = unit == std::string("messages");
            writer.out << "bergamotusher_" << name << '_' << unit
                       << "_total{kind=\""
                       << wire::message_kind_Name(
                              static_cast<wire::message_kind>(i))
                       << "\"} "
                       << (messages ? traffic[i].messages : traffic[i].bytes)
                       << '\n';
        }
    }
}

void write_peers(metric_writer& writer, const peers_status& peers)
{
    write_traffic(writer, "peer_sent", peers.sent);
    write_traffic(writer, "peer_received", peers.received);
    writer.counter("peer_unreachable_total", peers.dropped_unreachable);
    writer.counter("peer_ring_full_total", peers.dropped_queue_full);
    writer.counter("peer_refused_connections_total", peers.refused_connections);
    writer.counter("peer_malformed_total", peers.malformed);
    writer.counter("peer_unknown_sender_total", peers.unknown_sender);
    writer.counter("peer_stale_incarnation_total", peers.stale_incarnation);
}

} // namespace

std::string status_json(
    const settings& values,
    const serving_snapshot& serving,
    const control_status& control,
    const supervisor& supervised)
{
    json duties = json::array();
    for (const auto& worker : supervised.duties())
        duties.push_back(
            {{"name", worker->name()}, {"restarts", worker->restarts()}});
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
    metric_writer writer;
    writer.gauge("open_requests", from.serving.open_requests);
    writer.gauge("revision_in_force", from.serving.revision);
    write_requests(writer, from.serving.counters);
    write_admission(writer, from.serving);
    write_http(writer, from.caller_http);
    writer.counter(
        "callers_unauthenticated_total", from.callers.unauthenticated);
    writer.counter(
        "account_connections_refused_total",
        from.callers.over_connection_limit);
    writer.counter("dispatched_total", from.upstreams.dispatched);
    writer.counter("cancelled_total", from.upstreams.cancelled);
    writer.counter("upstream_connections_total", from.upstreams.connected);
    writer.counter("crossed_answers_total", from.upstreams.mismatched_answers);
    writer.counter("admin_unauthenticated_total", from.admin.unauthenticated);
    writer.counter("announcements_total", from.admin.announcements);
    writer.counter("bad_announcements_total", from.admin.bad_announcements);
    write_control(writer, from.control);
    write_peers(writer, from.peers);
    return writer.out.str();
}

} // namespace bergamotusher
