// Executes the actions of the request life cycle.
#include "daemon/serving_state.hpp"
#include "daemon/supervisor.hpp"
#include "observe/attempt_observation.hpp"
#include "routing/prefix.hpp"
#include "wire/serving_codec.hpp"

namespace bergamotusher::serving_parts
{

namespace
{

// Excludes the loss of an upstream that was reclaimed, or lost with its failure
// domain, from the crash evidence: it says nothing about the upstream's
// version.
void exclude_expected_loss(duty_state& duty, const serving_input& input)
{
    if (const auto* leaves = std::get_if<upstream_leaves>(&input))
        rollout::exclude_crashes(duty.versions.recorder, leaves->target, now());
    const auto* gone = std::get_if<upstream_gone>(&input);
    if (gone != nullptr && gone->domain_lost)
        rollout::exclude_crashes(duty.versions.recorder, gone->target, now());
}

void record_observed_attempt(duty_state& duty, attempt_observed& observed)
{
    const time_point at = now();
    const auto* entry = membership::find(duty.view.directory, observed.target);
    if (entry != nullptr)
        observed.key.band =
            load_band_of(slot_utilisation(duty.view, entry->value, at));
    if (auto counted = observe::make_request_observation(
            observed, entry == nullptr ? nullptr : &entry->value))
        duty.links.events.observe(std::move(*counted));
    record_observation(duty.view, observed, at);
    rollout::record_attempt(duty.versions.recorder, observed, at);
}

template<class Journal>
void propose_journal(duty_state& duty, const Journal& action)
{
    send_proposal(duty, propose(duty.journal, action, wall_now(), now()));
}

void send_crash_report(duty_state& duty, const report_crash& report)
{
    const std::string body = wire::encode(report);
    if (report.to.empty())
        return send_all_peers(duty, wire::crash_report, body);
    for (const node_id& to : report.to)
        send_peer(duty, to, wire::crash_report, body);
}

// Executes an action that sends a message to other entries. Returns false if
// `action` is of another type.
bool send_to_peers(duty_state& duty, const serving_action& action)
{
    if (const auto* handover = std::get_if<hand_over>(&action))
        send_peer(
            duty,
            handover->successor,
            wire::hand_over,
            wire::encode(handover->state));
    else if (const auto* reply = std::get_if<hand_over_reply>(&action))
        send_peer(duty, reply->to, wire::hand_over_reply, wire::encode(*reply));
    else if (const auto* crash = std::get_if<report_crash>(&action))
        send_crash_report(duty, *crash);
    else if (const auto* noted = std::get_if<acknowledge_crash>(&action))
        send_peer(
            duty, noted->to, wire::crash_acknowledged, wire::encode(*noted));
    else
        return false;
    return true;
}

// Passes a response action to the callers duty, and counts errors.
void answer(duty_state& duty, serving_action&& action)
{
    if (const auto* error = std::get_if<answer_error>(&action))
        duty.links.events.observe(observe::error_observed{error->error.kind});
    duty.callers.send(std::move(action));
}

bool ends_request(event_kind kind)
{
    return kind == event_kind::request_finished ||
           kind == event_kind::request_failed ||
           kind == event_kind::request_refused ||
           kind == event_kind::request_handed_over;
}

void execute_action(duty_state& duty, serving_action&& action)
{
    if (const auto* begin = std::get_if<journal_begin>(&action))
        propose_journal(duty, *begin);
    else if (const auto* finish = std::get_if<journal_finish>(&action))
        propose_journal(duty, *finish);
    else if (const auto* release = std::get_if<journal_release>(&action))
        propose_journal(duty, *release);
    else if (const auto* dispatched = std::get_if<dispatch>(&action))
    {
        record_dispatch(duty.view, *dispatched, now());
        duty.upstreams.send(std::move(action));
    }
    else if (const auto* cancelled = std::get_if<cancel_attempt>(&action))
    {
        record_cancellation(duty.view, *cancelled, now());
        duty.upstreams.send(std::move(action));
    }
    else if (auto* observed = std::get_if<attempt_observed>(&action))
        record_observed_attempt(duty, *observed);
    else if (auto* happened = std::get_if<record_event>(&action))
    {
        if (ends_request(happened->value.kind))
            record_finished(duty.gate, happened->value.request, now());
        record(duty, std::move(happened->value));
    }
    else if (std::holds_alternative<drained>(action))
        duty.drained_at = now();
    else if (!send_to_peers(duty, action))
        answer(duty, std::move(action));
}

} // namespace

void step_life_cycle(duty_state& duty, const serving_input& input)
{
    const serving::serving_context context{
        duty.effective_config,
        [&duty](const choice_request& request, time_point at)
        { return choose_upstream(duty.view, request, at); },
        wall_now(),
        [](std::string_view body) { return routing::prefix_blocks(body); },
        [&duty]
        {
            return find_live_entries(duty.entries, now());
        }};
    for (serving_action& action :
         serving::step(duty.requests, input, context, now()))
        execute_action(duty, std::move(action));
}

void send_peer(
    duty_state& duty,
    const node_id& to,
    wire::message_kind kind,
    std::string body)
{
    // The peers duty counts a message that is dropped here. The next periodic
    // message replaces it, or a timeout handles its absence.
    bergamotusher::send(duty.links.peers, {to, kind, std::move(body)});
}

void send_all_peers(
    duty_state& duty, wire::message_kind kind, const std::string& body)
{
    for (const peer& entry_peer : duty.entries.entries)
        if (entry_peer.id != duty.node)
            send_peer(duty, entry_peer.id, kind, body);
}

void record(duty_state& duty, event happened)
{
    duty.links.events.record(std::move(happened));
}

void apply_view_changes(duty_state& duty, view_changes&& changes)
{
    for (event& happened : changes.events)
        record(duty, std::move(happened));
    for (const serving_input& input : changes.inputs)
    {
        exclude_expected_loss(duty, input);
        step_life_cycle(duty, input);
    }
}

void handle_proposal_answer(duty_state& duty, const proposal_answer& answer)
{
    auto update = handle_answer(duty.journal, answer, now());
    if (update.event_to_record)
        record(duty, std::move(*update.event_to_record));
    if (update.input)
        step_life_cycle(duty, *update.input);
}

void send_proposal(duty_state& duty, proposal new_proposal)
{
    const std::uint64_t ticket = new_proposal.ticket;
    if (!duty.links.propose(std::move(new_proposal)))
        handle_proposal_answer(
            duty, {ticket, proposal_outcome::not_committed, "", 0});
}

void reject_request(duty_state& duty, answer_error&& refusal)
{
    event happened;
    happened.kind = event_kind::request_refused;
    happened.request = refusal.request;
    happened.detail = std::string(error_answer_for(refusal.error.kind).name);
    record(duty, std::move(happened));
    ++duty.refused_at_gate;
    answer(duty, std::move(refusal));
}

} // namespace bergamotusher::serving_parts
