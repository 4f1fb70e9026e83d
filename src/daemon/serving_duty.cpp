#include "daemon/serving_duty.hpp"

#include "daemon/journal_port.hpp"
#include "daemon/outbox.hpp"
#include "daemon/supervisor.hpp"
#include "daemon/upstream_view.hpp"
#include "routing/prefix.hpp"
#include "wire/directory_codec.hpp"

#include <boost/asio/steady_timer.hpp>

#include <algorithm>

namespace bergamotusher
{

namespace
{

constexpr duration tick_interval = 10ms;
constexpr duration gossip_interval = 200ms;
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
        , control(loop, links.control)
        , peers(loop, links.peers)
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
    outbox<proposal> control;
    outbox<peer_message> peers;
    boost::asio::steady_timer timer;

    serving::life_cycle requests;
    upstream_view view;
    journal_port journal;
    entry_view entries;
    std::shared_ptr<const configuration> config =
        std::make_shared<configuration>();
    time_point may_accept_until;
    bool draining = false;
    std::optional<time_point> instance_ends;
    /// When a draining entry begins to refuse new requests.
    std::optional<time_point> refuse_from;
    pacer gossip{gossip_interval, {}};
    pacer report{entry_report_interval, {}};
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
        [](std::string_view body) { return routing::prefix_blocks(body); }};
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
    duty.peers.send({to, kind, std::move(body)});
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
        feed(duty, input);
}

template<class Journal>
void propose_journal(duty_state& duty, const Journal& action)
{
    duty.control.send(propose(duty.journal, action, wall_now(), now()));
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
    else if (const auto* seen = std::get_if<attempt_observed>(&action))
        note(duty.view, *seen, now());
    else if (auto* happened = std::get_if<record_event>(&action))
        record(duty, std::move(happened->value));
    else if (std::holds_alternative<drained>(action))
        duty.links.on_drained();
    else
        duty.callers.send(std::move(action));
}

// An entry that cannot confirm its configuration takes no new work.
bool refuse_stale(duty_state& duty, const request_arrived& arrived)
{
    if (now() < duty.may_accept_until)
        return false;
    duty.callers.send(answer_error{
        arrived.request.id,
        arrived.request.id,
        {error_kind::stale_configuration, ""},
        run_claim::not_run,
        duration(1s)});
    return true;
}

void publish(duty_state& duty, time_point at)
{
    serving_view view;
    view.upstreams = upstreams_json(duty.view, at);
    view.entries = entry_addresses(duty.entries, at);
    view.open_requests = duty.requests.open_count;
    view.revision = duty.config->revision;
    view.ready = at < duty.may_accept_until;
    view.draining = duty.draining;
    view.counters = duty.requests.counters;
    duty.shown.store(std::move(view));
}

void report_self(duty_state& duty, time_point at)
{
    const bool ready = at < duty.may_accept_until;
    const std::string report = encode_report(
        duty.draining,
        ready,
        static_cast<std::uint32_t>(duty.requests.open_count));
    take_report(duty.entries, duty.node, report, at);
    send_all_peers(duty, wire::entry_status, report);
    publish(duty, at);
}

void send_delta(duty_state& duty, time_point at)
{
    const auto delta = membership::collect_delta(
        duty.view.directory, duty.node, duty.incarnation, at);
    send_all_peers(duty, wire::directory, wire::encode(delta));
}

void on_tick(duty_state& duty)
{
    const time_point at = now();
    take_changes(duty, expire(duty.view, at));
    for (proposal& again : due(duty.journal, at))
        duty.control.send(std::move(again));
    if (duty.gossip.due(at))
        send_delta(duty, at);
    if (duty.report.due(at))
        report_self(duty, at);
    if (duty.refuse_from && at >= *duty.refuse_from)
    {
        duty.refuse_from.reset();
        feed(
            duty,
            drain_started{
                duty.instance_ends, successors(duty.entries, at)});
    }
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

void take_directory(duty_state& duty, const peer_message& message)
{
    const auto parsed = wire::decode_directory_delta(message.body);
    const auto* delta = std::get_if<membership::directory_delta>(&parsed);
    if (delta == nullptr)
        return;
    std::optional<membership::directory_delta> answer;
    take_changes(
        duty,
        take_delta(
            duty.view, *delta, duty.node, duty.incarnation, answer, now()));
    if (answer)
        send_peer(duty, message.peer, wire::directory, wire::encode(*answer));
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
}

serving_duty::~serving_duty() = default;

void serving_duty::take(serving_input&& input)
{
    if (const auto* arrived = std::get_if<request_arrived>(&input))
        if (refuse_stale(*state_, *arrived))
            return;
    if (const auto* finished = std::get_if<attempt_finished>(&input))
        forget(state_->view, finished->attempt);
    if (const auto* failed = std::get_if<attempt_failed>(&input))
        forget(state_->view, failed->attempt);
    feed(*state_, input);
}

void serving_duty::take(upstream_message&& message)
{
    take_changes(
        *state_, bergamotusher::take(state_->view, message, now()));
}

void serving_duty::take(control_news&& news)
{
    duty_state& duty = *state_;
    if (const auto* applied = std::get_if<configuration_applied>(&news))
    {
        if (applied->value->revision < duty.config->revision)
            return;
        duty.config = applied->value;
    }
    else if (const auto* lease = std::get_if<configuration_lease>(&news))
        duty.may_accept_until = lease->valid_until;
    else
    {
        auto answer = bergamotusher::take(
            duty.journal, std::get<proposal_answer>(news), now());
        if (answer.event_to_record)
            record(duty, std::move(*answer.event_to_record));
        if (answer.input)
            feed(duty, *answer.input);
    }
}

void serving_duty::take(peer_message&& message)
{
    if (message.kind == wire::directory)
        take_directory(*state_, message);
    else if (message.kind == wire::entry_status)
        take_report(state_->entries, message.peer, message.body, now());
}

void serving_duty::take(const reclaim_notice& notice)
{
    take_changes(
        *state_,
        take_notice(
            state_->view,
            {notice.instance},
            notice.domain,
            notice.deadline));
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
