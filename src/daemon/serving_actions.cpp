// What the serving duty does with the life cycle's actions.
#include "daemon/serving_state.hpp"
#include "daemon/supervisor.hpp"
#include "observe/attempt_observation.hpp"
#include "routing/prefix.hpp"
#include "wire/serving_codec.hpp"

namespace bergamotusher::serving_parts
{

namespace
{

// An upstream that was reclaimed, or lost with its failure domain, is no
// evidence against the version that it ran.
void excuse_upstream(duty_state& duty, const serving_input& input)
{
    if (const auto* leaves = std::get_if<upstream_leaves>(&input))
        rollout::excuse(duty.versions.recorder, leaves->target, now());
    const auto* gone = std::get_if<upstream_gone>(&input);
    if (gone != nullptr && gone->domain_lost)
        rollout::excuse(duty.versions.recorder, gone->target, now());
}

void take_observed(duty_state& duty, attempt_observed& seen)
{
    const time_point at = now();
    const auto* entry = membership::find(duty.view.directory, seen.target);
    if (entry != nullptr)
        seen.key.band = band_of(utilisation(duty.view, entry->value, at));
    if (auto counted = observe::request_of(
            seen, entry == nullptr ? nullptr : &entry->value))
        duty.links.events.observe(std::move(*counted));
    note(duty.view, seen, at);
    rollout::observe(duty.versions.recorder, seen, at);
}

template<class Journal>
void propose_journal(duty_state& duty, const Journal& action)
{
    send_proposal(duty, propose(duty.journal, action, wall_now(), now()));
}

// Carries out what other entries are told; false if `action` is not that.
bool tell_peers(duty_state& duty, const serving_action& action)
{
    if (const auto* given = std::get_if<hand_over>(&action))
        send_peer(
            duty,
            given->successor,
            wire::hand_over,
            wire::encode(given->state));
    else if (const auto* reply = std::get_if<hand_over_reply>(&action))
        send_peer(duty, reply->to, wire::hand_over_reply, wire::encode(*reply));
    else if (const auto* crash = std::get_if<report_crash>(&action))
        send_all_peers(duty, wire::crash_report, wire::encode(*crash));
    else
        return false;
    return true;
}

// Sends the callers duty what a caller is told, and counts errors.
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

void carry_out(duty_state& duty, serving_action&& action)
{
    if (const auto* begin = std::get_if<journal_begin>(&action))
        propose_journal(duty, *begin);
    else if (const auto* finish = std::get_if<journal_finish>(&action))
        propose_journal(duty, *finish);
    else if (const auto* release = std::get_if<journal_release>(&action))
        propose_journal(duty, *release);
    else if (const auto* sent = std::get_if<dispatch>(&action))
    {
        note(duty.view, *sent, now());
        duty.upstreams.send(std::move(action));
    }
    else if (const auto* unwanted = std::get_if<cancel_attempt>(&action))
    {
        note(duty.view, *unwanted, now());
        duty.upstreams.send(std::move(action));
    }
    else if (auto* seen = std::get_if<attempt_observed>(&action))
        take_observed(duty, *seen);
    else if (auto* happened = std::get_if<record_event>(&action))
    {
        if (ends_request(happened->value.kind))
            finished(duty.gate, happened->value.request, now());
        record(duty, std::move(happened->value));
    }
    else if (std::holds_alternative<drained>(action))
        duty.drained_at = now();
    else if (!tell_peers(duty, action))
        answer(duty, std::move(action));
}

} // namespace

void feed(duty_state& duty, const serving_input& input)
{
    const serving::serving_context context{
        duty.config,
        [&duty](const choice_request& request, time_point at)
        { return choose(duty.view, request, at); },
        wall_now(),
        [](std::string_view body)
        {
            return routing::prefix_blocks(body);
        }};
    for (serving_action& action :
         serving::step(duty.requests, input, context, now()))
        carry_out(duty, std::move(action));
}

void send_peer(
    duty_state& duty,
    const node_id& to,
    wire::message_kind kind,
    std::string body)
{
    // A message that is lost here is counted there, and made good by the
    // next one or by a time limit.
    bergamotusher::send(duty.links.peers, {to, kind, std::move(body)});
}

void send_all_peers(
    duty_state& duty, wire::message_kind kind, const std::string& body)
{
    for (const peer& one : duty.entries.entries)
        if (one.id != duty.node)
            send_peer(duty, one.id, kind, body);
}

void record(duty_state& duty, event happened)
{
    duty.links.events.record(std::move(happened));
}

void take_changes(duty_state& duty, view_changes&& changes)
{
    for (event& happened : changes.events)
        record(duty, std::move(happened));
    for (const serving_input& input : changes.inputs)
    {
        excuse_upstream(duty, input);
        feed(duty, input);
    }
}

void take_answer(duty_state& duty, const proposal_answer& answer)
{
    auto news = take(duty.journal, answer, now());
    if (news.event_to_record)
        record(duty, std::move(*news.event_to_record));
    if (news.input)
        feed(duty, *news.input);
}

void send_proposal(duty_state& duty, proposal wanted)
{
    const std::uint64_t ticket = wanted.ticket;
    if (!duty.links.propose(std::move(wanted)))
        take_answer(duty, {ticket, proposal_outcome::not_committed, "", 0});
}

void refuse(duty_state& duty, answer_error&& refusal)
{
    event happened;
    happened.kind = event_kind::request_refused;
    happened.request = refusal.request;
    happened.detail = std::string(answer_of(refusal.error.kind).name);
    record(duty, std::move(happened));
    ++duty.refused_at_gate;
    answer(duty, std::move(refusal));
}

} // namespace bergamotusher::serving_parts
