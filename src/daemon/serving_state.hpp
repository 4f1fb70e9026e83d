// Internal state of the serving duty, and the functions shared between its
// source files. Included only by these.
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

/// Intervals at which an entry sends directory changes to the other entries,
/// and evidence about versions to the leader.
inline constexpr duration gossip_interval = 250ms;
inline constexpr duration evidence_interval = 250ms;

/// Tells when a periodic action is due.
struct interval_timer
{
    duration interval;
    time_point last;

    /// Returns whether `interval` has passed since the last start; if so,
    /// starts the next interval.
    bool start_if_due(time_point at)
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
        serving_links link_set)
        : links(std::move(link_set))
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
    journal_client journal;
    entry_view entries;
    version_watch versions;
    admission_gate gate;
    /// `committed_config` is the configuration as committed;
    /// `effective_config` excludes the versions that this entry has stopped.
    std::shared_ptr<const configuration> committed_config =
        std::make_shared<configuration>();
    std::shared_ptr<const configuration> effective_config =
        std::make_shared<configuration>();
    time_point configuration_valid_until;
    bool draining = false;
    std::optional<time_point> instance_deadline;
    /// Time from which a draining entry rejects new requests.
    std::optional<time_point> reject_from;
    /// Time at which the last accepted request ended. Journal commands may
    /// still be pending.
    std::optional<time_point> drained_at;
    interval_timer gossip_timer{gossip_interval, {}};
    interval_timer report_timer{entry_report_interval, {}};
    interval_timer evidence_timer{evidence_interval, {}};
    interval_timer budget_timer{admission::budget_renewal, {}};
    std::uint64_t malformed_messages = 0;
    std::uint64_t refused_at_gate = 0;
    published<serving_snapshot> shown;
};

namespace serving_parts
{

using duty_state = serving_duty::state_data;

/// Passes an input to the request life cycle and executes the resulting
/// actions.
void step_life_cycle(duty_state& duty, const serving_input& input);

/// Passes changes of upstreams to the life cycle and to the time line.
void apply_view_changes(duty_state& duty, view_changes&& changes);

/// Processes the control duty's answer to a journal proposal.
void handle_proposal_answer(duty_state& duty, const proposal_answer& answer);

/// Sends a proposal to the control duty. If that fails, processes it at once as
/// not committed.
void send_proposal(duty_state& duty, proposal wanted);

/// Rejects a request that was not passed to the life cycle.
void reject_request(duty_state& duty, answer_error&& refusal);

/// Records an event on the time line.
void record(duty_state& duty, event happened);

/// Send a message to one peer, or to all other entries.
void send_peer(
    duty_state& duty,
    const node_id& to,
    wire::message_kind kind,
    std::string body);
void send_all_peers(
    duty_state& duty, wire::message_kind kind, const std::string& body);

/// Sends the periodic messages that are due: directory changes, the status of
/// this entry, evidence about versions and requests for admission budgets.
void send_reports(duty_state& duty, time_point at);

/// Sends the status of this entry to its peers, and publishes the snapshot for
/// other threads.
void report_self(duty_state& duty, time_point at);

/// Processes a message from a peer.
void handle_peer_message(duty_state& duty, const incoming_message& message);

} // namespace serving_parts

} // namespace bergamotusher
