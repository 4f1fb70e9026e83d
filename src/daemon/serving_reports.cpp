// What the serving duty and its peers tell each other.
#include "daemon/serving_state.hpp"
#include "daemon/supervisor.hpp"
#include "wire/directory_codec.hpp"
#include "wire/serving_codec.hpp"

namespace bergamotusher::serving_parts
{

namespace
{

void send_asks(duty_state& duty, time_point at)
{
    const std::string ask = ask_budgets(duty.gate, *duty.config, at);
    const node_id leader = duty.links.leader();
    if (ask.empty() || leader.empty())
        return;
    if (leader != duty.node)
        return send_peer(duty, leader, wire::budget_ask, ask);
    const std::string grant =
        grant_budgets(duty.gate, duty.node, ask, duty.links.leads(at), at);
    if (!grant.empty())
        take_budgets(duty.gate, grant);
}

void take_ask(duty_state& duty, const incoming_message& message)
{
    const time_point at = now();
    std::string grant = grant_budgets(
        duty.gate, message.from, message.body, duty.links.leads(at), at);
    if (!grant.empty())
        send_peer(duty, message.from, wire::budget_grant, std::move(grant));
}

void publish(duty_state& duty, time_point at)
{
    serving_view view;
    view.upstreams = upstreams_json(duty.view, at);
    for (const auto& [id, entry] : duty.view.directory.entries)
        view.for_moves.push_back(
            {entry.value,
             membership::may_take_work(entry, at),
             utilisation(duty.view, entry.value, at)});
    view.entries = entry_addresses(duty.entries, at);
    view.open_requests = duty.requests.open_count;
    view.revision = duty.config->revision;
    view.ready = at < duty.may_accept_until;
    view.draining = duty.draining;
    view.counters = duty.requests.counters;
    view.admission = duty.gate.state.counters;
    view.malformed_messages = duty.malformed_messages;
    view.refused_at_gate = duty.refused_at_gate;
    duty.shown.store(std::move(view));
    const auto show = [&duty](observe::gauge name, double value)
    {
        duty.links.events.observe(observe::gauge_observed{name, value});
    };
    show(
        observe::gauge::upstreams_known,
        static_cast<double>(duty.view.directory.entries.size()));
    show(
        observe::gauge::requests_open,
        static_cast<double>(duty.requests.open_count));
    show(
        observe::gauge::configuration_revision,
        static_cast<double>(duty.committed->revision));
}

void send_delta(duty_state& duty, time_point at)
{
    const auto delta = membership::collect_delta(
        duty.view.directory, duty.node, duty.incarnation, at);
    send_all_peers(duty, wire::directory, wire::encode(delta));
}

void report_evidence(duty_state& duty, time_point at)
{
    watch_result result = collect(duty.versions, *duty.committed, at);
    if (result.changed)
    {
        duty.config = without_stopped(duty.committed, duty.versions.stopped);
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

// Feeds a decoded message; one that cannot be read is dropped.
template<class Input>
void feed_decoded(duty_state& duty, const std::variant<Input, failure>& decoded)
{
    if (const auto* input = std::get_if<Input>(&decoded))
        feed(duty, *input);
    else
        ++duty.malformed_messages;
}

void take_directory(duty_state& duty, const incoming_message& message)
{
    const auto parsed = wire::decode_directory_delta(message.body);
    const auto* delta = std::get_if<membership::directory_delta>(&parsed);
    if (delta == nullptr)
    {
        ++duty.malformed_messages;
        return;
    }
    std::optional<membership::directory_delta> answer;
    take_changes(
        duty,
        take_delta(
            duty.view, *delta, duty.node, duty.incarnation, answer, now()));
    if (answer)
        send_peer(duty, message.from, wire::directory, wire::encode(*answer));
}

} // namespace

void report_self(duty_state& duty, time_point at)
{
    const bool ready = at < duty.may_accept_until;
    const std::string report = encode_report(
        duty.draining,
        ready,
        static_cast<std::uint32_t>(duty.requests.open_count));
    take_report(duty.entries, duty.node, report, at);
    duty.gate.state.entries = duty.entries.entries.size();
    send_all_peers(duty, wire::entry_status, report);
    publish(duty, at);
}

void send_reports(duty_state& duty, time_point at)
{
    if (duty.gossip.due(at))
        send_delta(duty, at);
    if (duty.report.due(at))
        report_self(duty, at);
    if (duty.evidence.due(at))
        report_evidence(duty, at);
    if (duty.budgets.due(at))
        send_asks(duty, at);
}

void take_message(duty_state& duty, const incoming_message& message)
{
    switch (message.kind)
    {
    case wire::directory:
        take_directory(duty, message);
        break;
    case wire::entry_status:
        if (!take_report(duty.entries, message.from, message.body, now()))
            ++duty.malformed_messages;
        break;
    case wire::budget_ask:
        take_ask(duty, message);
        break;
    case wire::budget_grant:
        if (!take_budgets(duty.gate, message.body))
            ++duty.malformed_messages;
        break;
    case wire::hand_over:
        feed_decoded(
            duty, wire::decode_handed_over(message.body, message.from));
        break;
    case wire::hand_over_reply:
        feed_decoded(duty, wire::decode_hand_over_answered(message.body));
        break;
    case wire::crash_report:
        feed_decoded(duty, wire::decode_crash_reported(message.body));
        break;
    default:
        ++duty.malformed_messages;
    }
}

} // namespace bergamotusher::serving_parts
