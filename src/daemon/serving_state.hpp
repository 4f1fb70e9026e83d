// The serving duty's own state, and what its parts call of each other. Only
// the serving duty's .cpp files include it.
#pragma once

#include "daemon/admission_gate.hpp"
#include "daemon/journal_port.hpp"
#include "daemon/outbox.hpp"
#include "daemon/serving_duty.hpp"
#include "daemon/upstream_view.hpp"
#include "daemon/version_watch.hpp"

#include <boost/asio/steady_timer.hpp>

#include <memory>
#include <optional>
#include <string>

namespace bergamotusher
{

/// How often entries tell each other of upstreams, and the leader of versions.
inline constexpr duration gossip_interval = 250ms;
inline constexpr duration evidence_interval = 250ms;

/// Runs when `interval` has passed since it last ran.
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
    /// When the last accepted request ended; the journal may still be busy.
    std::optional<time_point> drained_at;
    pacer gossip{gossip_interval, {}};
    pacer report{entry_report_interval, {}};
    pacer evidence{evidence_interval, {}};
    pacer budgets{admission::budget_renewal, {}};
    std::uint64_t malformed_messages = 0;
    std::uint64_t refused_at_gate = 0;
    published<serving_view> shown;
};

namespace serving_parts
{

using duty_state = serving_duty::state_data;

/// Feeds the life cycle and carries out what it asks for.
void feed(duty_state& duty, const serving_input& input);

/// Tells the life cycle and the time line what became of upstreams.
void take_changes(duty_state& duty, view_changes&& changes);

/// Takes the control duty's answer to a journal proposal.
void take_answer(duty_state& duty, const proposal_answer& answer);

/// Proposes, or takes the refusal at once.
void send_proposal(duty_state& duty, proposal wanted);

/// Refuses a request that the life cycle has not seen.
void refuse(duty_state& duty, answer_error&& refusal);

/// Records an event on the time line.
void record(duty_state& duty, event happened);

/// Sends a message to one peer, or to all.
void send_peer(
    duty_state& duty,
    const node_id& to,
    wire::message_kind kind,
    std::string body);
void send_all_peers(
    duty_state& duty, wire::message_kind kind, const std::string& body);

/// What the entry tells others when it is due: the directory, itself, its
/// evidence, its asks for budgets.
void send_reports(duty_state& duty, time_point at);

/// Tells peers and other threads what this entry is now.
void report_self(duty_state& duty, time_point at);

/// Takes a peer's message.
void take_message(duty_state& duty, const incoming_message& message);

} // namespace serving_parts

} // namespace bergamotusher
