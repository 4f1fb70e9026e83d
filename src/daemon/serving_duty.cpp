#include "daemon/serving_duty.hpp"

#include "daemon/admission_gate.hpp"
#include "daemon/journal_port.hpp"
#include "daemon/outbox.hpp"
#include "daemon/supervisor.hpp"
#include "daemon/upstream_view.hpp"
#include "daemon/version_watch.hpp"
#include "observe/attempt_observation.hpp"
#include "routing/prefix.hpp"
#include "wire/directory_codec.hpp"
#include "wire/serving_codec.hpp"

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include <algorithm>

namespace bergamotusher
{

namespace
{

constexpr duration tick_interval = 10ms;
constexpr duration gossip_interval = 250ms;
constexpr duration evidence_interval = 250ms;
// For answers that callers got just before this entry left them.
constexpr duration address_margin = 500ms;

// Runs when `interval` has passed since it last ran.
struct pacer
{
    duration interval;
    time_point last;

    bool due(time_point at)
    {
        if (at - last < interval)
            return false;
        last = at;
        return true;
    }
};

} // namespace

struct serving_duty::state_data
{
    state_data(
        boost::asio::io_context& loop,
        const settings& values,
        std::uint64_t start,
        serving_links l)
        : links(std::move(l))
        , node(values.node)
        , incarnation(start)
        , callers(loop, links.callers)
        , upstreams(loop, links.upstreams)
        , timer(loop)
    {
        requests.options.node = node;
        requests.options.incarnation = start;
        requests.options.seed = start;
        journal.node = node;
        journal.incarnation = start;
        entries.self = node;
        entries.entries = values.peers;
    }

    serving_links links;
    node_id node;
    std::uint64_t incarnation;
    outbox<serving_action> callers;
    outbox<serving_action> upstreams;
    boost::asio::steady_timer timer;

    serving::life_cycle requests;
    upstream_view view;
    journal_port journal;
    entry_view entries;
    version_watch versions;
    admission_gate gate;
    /// As committed; `config` is the same without versions stopped here.
    std::shared_ptr<const configuration> committed =
        std::make_shared<configuration>();
    std::shared_ptr<const configuration> config =
        std::make_shared<configuration>();
    time_point may_accept_until;
    bool draining = false;
    std::optional<time_point> instance_ends;
    /// When a draining entry begins to refuse new requests.
    std::optional<time_point> refuse_from;
    pacer gossip{gossip_interval, {}};
    pacer report{entry_report_interval, {}};
    pacer evidence{evidence_interval, {}};
    pacer budgets{admission::budget_renewal, {}};
    std::uint64_t malformed_messages = 0;
    std::uint64_t refused_at_gate = 0;
    published<serving_view> shown;
};

namespace
{

using duty_state = serving_duty::state_data;

void carry_out(duty_state& duty, serving_action&& action);

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

void take_observed(duty_state& duty, attempt_observed& seen)
{
    const time_point at = now();
    const auto* entry = membership::find(duty.view.directory, seen.target);
    if (entry != nullptr)
        seen.key.band = band_of(
            utilisation(duty.view, entry->value, at) * entry->value.slots,
            entry->value.slots);
    if (auto counted = observe::request_of(
            seen, entry == nullptr ? nullptr : &entry->value))
        duty.links.events.observe(std::move(*counted));
    note(duty.view, seen, at);
    rollout::observe(duty.versions.recorder, seen, at);
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
        duty.links.on_drained();
    else if (!tell_peers(duty, action))
        answer(duty, std::move(action));
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

// An entry that cannot confirm its configuration takes no new work.
bool refuse_stale(duty_state& duty, const request_arrived& arrived)
{
    if (now() < duty.may_accept_until)
        return false;
    refuse(
        duty,
        {arrived.request.id,
         arrived.request.id,
         {error_kind::stale_configuration, ""},
         run_claim::not_run,
         duration(1s)});
    return true;
}

void take_arrival(duty_state& duty, request_arrived&& arrived)
{
    auto result = offer(
        duty.gate, duty.view, *duty.config, std::move(arrived.request), now());
    if (auto* start = std::get_if<gate_start>(&result))
        feed(duty, request_arrived{std::move(start->request)});
    else if (auto* refused = std::get_if<answer_error>(&result))
        refuse(duty, std::move(*refused));
}

// Starts what waited at the gate and now has room.
void run_gate(duty_state& duty, time_point at)
{
    auto result = turn(duty.gate, duty.view, at);
    for (caller_request& request : result.started)
        feed(duty, request_arrived{std::move(request)});
    for (answer_error& refused : result.refused)
        refuse(duty, std::move(refused));
}

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

void start_drain(duty_state& duty, time_point at)
{
    duty.refuse_from.reset();
    for (caller_request& request : release_all(duty.gate))
        feed(duty, request_arrived{std::move(request)});
    feed(duty, drain_started{duty.instance_ends, successors(duty.entries, at)});
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

void on_tick(duty_state& duty)
{
    const time_point at = now();
    take_changes(duty, expire(duty.view, at));
    for (proposal& again : due(duty.journal, at))
        send_proposal(duty, std::move(again));
    if (duty.gossip.due(at))
        send_delta(duty, at);
    if (duty.report.due(at))
        report_self(duty, at);
    if (duty.evidence.due(at))
        report_evidence(duty, at);
    if (duty.budgets.due(at))
        send_asks(duty, at);
    run_gate(duty, at);
    if (duty.refuse_from && at >= *duty.refuse_from)
        start_drain(duty, at);
    feed(duty, tick{});
}

void schedule_tick(duty_state& duty)
{
    duty.timer.expires_after(tick_interval);
    duty.timer.async_wait(
        [&duty](const boost::system::error_code& error)
        {
            if (error)
                return;
            schedule_tick(duty);
            on_tick(duty);
        });
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

serving_duty::serving_duty(
    boost::asio::io_context& loop,
    const settings& values,
    std::uint64_t incarnation,
    serving_links links)
    : state_(std::make_unique<state_data>(
          loop, values, incarnation, std::move(links)))
{
    schedule_tick(*state_);
    boost::asio::post(
        loop,
        [duty = state_.get()]
        {
            send_proposal(
                *duty, propose_earlier_lost(duty->journal, wall_now(), now()));
        });
}

serving_duty::~serving_duty() = default;

void serving_duty::take(serving_input&& input)
{
    if (auto* arrived = std::get_if<request_arrived>(&input))
    {
        if (!refuse_stale(*state_, *arrived))
            take_arrival(*state_, std::move(*arrived));
        return;
    }
    if (const auto* gone = std::get_if<caller_gone>(&input))
        if (withdraw(state_->gate, gone->connection))
            return;
    if (const auto* finished = std::get_if<attempt_finished>(&input))
        forget(state_->view, finished->attempt);
    if (const auto* failed = std::get_if<attempt_failed>(&input))
        forget(state_->view, failed->attempt);
    feed(*state_, input);
}

void serving_duty::take(upstream_message&& message)
{
    take_changes(*state_, bergamotusher::take(state_->view, message, now()));
}

void serving_duty::take(control_news&& news)
{
    duty_state& duty = *state_;
    if (const auto* applied = std::get_if<configuration_applied>(&news))
    {
        if (applied->value->revision < duty.committed->revision)
            return;
        duty.committed = applied->value;
        duty.config = without_stopped(duty.committed, duty.versions.stopped);
        event happened;
        happened.kind = event_kind::configuration_applied;
        happened.number = duty.committed->revision;
        record(duty, std::move(happened));
    }
    else if (const auto* lease = std::get_if<configuration_lease>(&news))
        duty.may_accept_until = lease->valid_until;
    else
        take_answer(duty, std::get<proposal_answer>(news));
}

void serving_duty::take(incoming_message&& message)
{
    duty_state& duty = *state_;
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

void serving_duty::take(const reclaim_notice& notice)
{
    take_changes(
        *state_,
        take_notice(
            state_->view, {notice.instance}, notice.domain, notice.deadline));
}

void serving_duty::drain(std::optional<time_point> deadline)
{
    duty_state& duty = *state_;
    if (duty.draining)
        return;
    const time_point at = now();
    duty.draining = true;
    duty.instance_ends = deadline;
    duty.refuse_from = at + membership::entry_ttl + address_margin;
    if (deadline)
        duty.refuse_from =
            std::min(*duty.refuse_from, at + (*deadline - at) / 2);
    report_self(duty, at);
}

std::shared_ptr<const serving_view> serving_duty::shown() const
{
    return state_->shown.load();
}

} // namespace bergamotusher
