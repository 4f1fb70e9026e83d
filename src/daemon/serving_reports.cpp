// Messages between the serving duty and other nodes, and the duty's published
// snapshot.
#include "daemon/serving_state.hpp"
#include "daemon/supervisor.hpp"
#include "wire/directory_codec.hpp"
#include "wire/serving_codec.hpp"

namespace bergamotusher::serving_parts
{

namespace
{

void send_budget_ask(duty_state& duty, time_point at)
{
    const std::string ask = ask_budgets(duty.gate, *duty.effective_config, at);
    const node_id leader = duty.links.leader();
    if (ask.empty() || leader.empty())
        return;
    if (leader != duty.node)
        return send_peer(duty, leader, wire::budget_ask, ask);
    const std::string grant =
        grant_budgets(duty.gate, duty.node, ask, duty.links.leads(at), at);
    if (!grant.empty())
        apply_budgets(duty.gate, grant);
}

void handle_budget_ask(duty_state& duty, const incoming_message& message)
{
    const time_point at = now();
    std::string grant = grant_budgets(
        duty.gate, message.from, message.body, duty.links.leads(at), at);
    if (!grant.empty())
        send_peer(duty, message.from, wire::budget_grant, std::move(grant));
}

void publish_view(duty_state& duty, time_point at)
{
    serving_snapshot view;
    view.upstreams = upstreams_json(duty.view, at);
    for (const auto& [id, entry] : duty.view.directory.entries)
        view.move_upstreams.push_back(
            {entry.value,
             membership::accepts_new_work(entry, at),
             slot_utilisation(duty.view, entry.value, at)});
    view.entries = entry_addresses(duty.entries, at);
    view.open_requests = duty.requests.open_count;
    view.revision = duty.effective_config->revision;
    view.ready = at < duty.configuration_valid_until;
    view.draining = duty.draining;
    view.counters = duty.requests.counters;
    view.admission = duty.gate.state.counters;
    view.malformed_messages = duty.malformed_messages;
    view.rejected_before_start = duty.refused_at_gate;
    duty.shown.store(std::move(view));
    const auto set_gauge = [&duty](observe::gauge name, double value)
    {
        duty.links.events.observe(observe::gauge_observed{name, value});
    };
    set_gauge(
        observe::gauge::upstreams_known,
        static_cast<double>(duty.view.directory.entries.size()));
    set_gauge(
        observe::gauge::requests_open,
        static_cast<double>(duty.requests.open_count));
    set_gauge(
        observe::gauge::configuration_revision,
        static_cast<double>(duty.committed_config->revision));
}

void send_delta(duty_state& duty, time_point at)
{
    const auto delta = membership::collect_delta(
        duty.view.directory, duty.node, duty.incarnation, at);
    send_all_peers(duty, wire::directory, wire::encode(delta));
}

void report_evidence(duty_state& duty, time_point at)
{
    watch_result result =
        evaluate_evidence(duty.versions, *duty.committed_config, at);
    if (result.changed)
    {
        duty.effective_config =
            without_stopped(duty.committed_config, duty.versions.stopped);
        for (const auto& [service, version] : duty.versions.stopped)
        {
            event happened;
            happened.kind = event_kind::version_stopped;
            happened.detail = service.value + " " + version.value;
            record(duty, std::move(happened));
        }
    }
    if (!result.report)
        return;
    const node_id leader = duty.links.leader();
    if (leader == duty.node)
        duty.links.moves.push({duty.node, std::move(*result.report)});
    else if (!leader.empty())
        send_peer(
            duty, leader, wire::evidence, rollout::encode(*result.report));
}

// Passes a decoded message to the life cycle. A message that could not be
// decoded is counted and dropped.
template<class Input>
void step_decoded(duty_state& duty, const std::variant<Input, failure>& decoded)
{
    if (const auto* input = std::get_if<Input>(&decoded))
        step_life_cycle(duty, *input);
    else
        ++duty.malformed_messages;
}

void handle_directory_delta(duty_state& duty, const incoming_message& message)
{
    const auto parsed = wire::decode_directory_delta(message.body);
    const auto* delta = std::get_if<membership::directory_delta>(&parsed);
    if (delta == nullptr)
    {
        ++duty.malformed_messages;
        return;
    }
    std::optional<membership::directory_delta> answer;
    apply_view_changes(
        duty,
        merge_delta(
            duty.view, *delta, duty.node, duty.incarnation, answer, now()));
    if (answer)
        send_peer(duty, message.from, wire::directory, wire::encode(*answer));
}

} // namespace

void report_self(duty_state& duty, time_point at)
{
    const bool ready = at < duty.configuration_valid_until;
    const std::string report = encode_entry_report(
        duty.draining,
        ready,
        static_cast<std::uint32_t>(duty.requests.open_count));
    apply_entry_report(duty.entries, duty.node, report, at);
    duty.gate.state.entries = duty.entries.entries.size();
    send_all_peers(duty, wire::entry_status, report);
    publish_view(duty, at);
}

void send_reports(duty_state& duty, time_point at)
{
    if (duty.gossip_timer.start_if_due(at))
        send_delta(duty, at);
    if (duty.report_timer.start_if_due(at))
        report_self(duty, at);
    if (duty.evidence_timer.start_if_due(at))
        report_evidence(duty, at);
    if (duty.budget_timer.start_if_due(at))
        send_budget_ask(duty, at);
}

void handle_peer_message(duty_state& duty, const incoming_message& message)
{
    switch (message.kind)
    {
    case wire::directory:
        handle_directory_delta(duty, message);
        break;
    case wire::entry_status:
        if (!apply_entry_report(
                duty.entries, message.from, message.body, now()))
            ++duty.malformed_messages;
        break;
    case wire::budget_ask:
        handle_budget_ask(duty, message);
        break;
    case wire::budget_grant:
        if (!apply_budgets(duty.gate, message.body))
            ++duty.malformed_messages;
        break;
    case wire::hand_over:
        step_decoded(
            duty, wire::decode_handed_over(message.body, message.from));
        break;
    case wire::hand_over_reply:
        step_decoded(duty, wire::decode_hand_over_answered(message.body));
        break;
    case wire::crash_report:
        step_decoded(
            duty, wire::decode_crash_reported(message.body, message.from));
        break;
    case wire::crash_acknowledged:
        step_decoded(
            duty, wire::decode_crash_acknowledged(message.body, message.from));
        break;
    default:
        ++duty.malformed_messages;
    }
}

} // namespace bergamotusher::serving_parts
