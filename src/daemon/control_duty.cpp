#include "daemon/control_duty.hpp"

#include "base/clock.hpp"
#include "consensus/encoding.hpp"
#include "daemon/control_state.hpp"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <utility>

namespace bergamotusher
{

namespace
{

using consensus::role;

constexpr std::size_t peers_queue_capacity = 8192;
constexpr std::size_t storage_queue_capacity = 4096;
/// Interval of checks for expired proposals.
constexpr duration expiry_check_interval = 20ms;
/// Processor time for applying entries in one step, beyond which fewer are
/// applied in the next one.
constexpr duration max_apply_time = 10ms;

void send_unsent_writes(control_duty& duty)
{
    while (!duty.unsent_writes.empty() &&
           duty.storage->inbox.push(std::move(duty.unsent_writes.front())))
        duty.unsent_writes.pop_front();
}

void enqueue_write(control_duty& duty, consensus::storage_write&& write)
{
    // Writes must reach the storage in order, so this one goes behind any that
    // still wait.
    duty.unsent_writes.push_back(std::move(write));
    send_unsent_writes(duty);
}

void record_voters(control_duty& duty, const consensus::entry& entry)
{
    std::string detail = "voters";
    for (const node_id& voter : entry.members.voters)
        detail += " " + voter.value;
    record(duty, event_kind::voter_changed, entry.index, detail);
}

void apply_entry(control_duty& duty, const consensus::entry& entry)
{
    std::string result;
    note_step_work("applied entries");
    ++duty.since_snapshot.entries;
    duty.since_snapshot.bytes += consensus::size_of(entry);
    if (entry.kind == consensus::entry_kind::command)
        result = duty.machine.apply(entry.index, entry.command);
    else if (entry.kind == consensus::entry_kind::members)
        record_voters(duty, entry);
    answer_applied(duty, entry, std::move(result));
}

void restore_state(control_duty& duty, const consensus::snapshot& value)
{
    static const std::string empty_state;
    note_step_work("restored a snapshot");
    duty.machine.restore(value.index, value.data ? *value.data : empty_state);
    duty.since_snapshot = {
        0, 0, value.data ? value.data->size() : std::size_t{0}};
    answer_replaced_by_snapshot(duty, value.index);
    const std::lock_guard lock(duty.status_mutex);
    ++duty.status.snapshots_installed;
}

void handle_role_change(
    control_duty& duty, const consensus::role_changed& change)
{
    const std::string name(to_name(change.role));
    if (change.role == role::leader)
        record(duty, event_kind::leader_elected, change.term, name);
    else if (duty.status.role == role::leader)
        record(duty, event_kind::leader_stepped_down, change.term, name);
    else if (change.term != duty.status.term)
        record(duty, event_kind::term_started, change.term, name);
    {
        const std::lock_guard lock(duty.status_mutex);
        if (change.role == role::candidate)
            ++duty.status.elections;
        duty.status.role = change.role;
        duty.status.term = change.term;
    }
    if (change.role == role::halted)
        answer_all_proposals(duty);
    schedule_flush(duty);
}

void perform_action(control_duty& duty, consensus::action&& action)
{
    using namespace consensus;
    if (auto* out = std::get_if<consensus::send>(&action))
        send_to(duty, out->to, wire::consensus, encode(out->content));
    else if (auto* write = std::get_if<persist>(&action))
        enqueue_write(duty, std::move(*write));
    else if (auto* write = std::get_if<persist_snapshot>(&action))
        enqueue_write(duty, std::move(*write));
    else if (const auto* out = std::get_if<consensus::apply>(&action))
        apply_entry(duty, out->value);
    else if (const auto* out = std::get_if<restore>(&action))
        restore_state(duty, *out->value);
    else if (const auto* out = std::get_if<role_changed>(&action))
        handle_role_change(duty, *out);
    else if (const auto* out = std::get_if<freshness_answered>(&action))
        handle_freshness(duty, *out, steady_now());
}

/// Publishes to other threads until when orders may be given, and notifies the
/// state machine when the permission begins or ends.
void update_order_permission(control_duty& duty, time_point now)
{
    const bool allowed = consensus::may_act_as_sole_leader(duty.core, now);
    const time_point until =
        allowed ? consensus::lease_until(duty.core) : time_point{};
    duty.order_term = duty.core.hard.term;
    duty.order_index = duty.core.commit;
    duty.order_until_us = until.time_since_epoch().count();
    if (allowed == duty.orders_allowed)
        return;
    duty.orders_allowed = allowed;
    if (!allowed)
        record(duty, event_kind::lease_lapsed, duty.core.hard.term, "");
    if (duty.machine.on_leadership)
        duty.machine.on_leadership(allowed, duty.core.hard.term);
}

void take_snapshot_if_due(control_duty& duty)
{
    if (!consensus::is_snapshot_due(
            duty.options.snapshots, duty.since_snapshot) ||
        duty.core.pending_snapshot || duty.core.installing_snapshot ||
        duty.core.role == role::halted)
        return;
    note_step_work("took a snapshot");
    auto state = std::make_shared<const std::string>(duty.machine.snapshot());
    duty.since_snapshot = {0, 0, state->size()};
    {
        const std::lock_guard lock(duty.status_mutex);
        ++duty.status.snapshots_taken;
    }
    step_core(
        duty, consensus::snapshot_taken{duty.core.applied, std::move(state)});
}

/// Bounds the next step's entries by what those of this one have cost, which
/// their number and size do not tell. The number at most doubles: entries that
/// cost nothing may stand before others.
void adapt_apply_entries(
    control_duty& duty, std::uint64_t applied, duration processor_time)
{
    const duration entry_time =
        processor_time / static_cast<std::int64_t>(applied);
    const auto affordable = static_cast<std::size_t>(
        max_apply_time / std::max(entry_time, duration(1)));
    std::size_t& limit = duty.core.options.limits.apply_entries;
    limit = std::clamp<std::size_t>(
        std::min(affordable, 2 * limit), 1, duty.options.limits.apply_entries);
}

/// Applies the committed entries that the last step left, behind the messages
/// and timers that are due by now.
void schedule_apply(control_duty& duty)
{
    if (std::exchange(duty.apply_scheduled, true))
        return;
    boost::asio::post(
        duty.loop,
        [&duty]
        {
            const measured_step step(duty.steps, "applied entries");
            duty.apply_scheduled = false;
            step_core(duty, consensus::apply_more{});
        });
}

/// Rearms the timer if it would fire later than the next check for expired
/// proposals.
void ensure_expiry_check(control_duty& duty)
{
    // Timers of the loop use the steady clock, not `steady_now`.
    if (duty.timer.expiry() >
        std::chrono::steady_clock::now() + expiry_check_interval)
        arm_timer(duty);
}

void count_dropped_message(control_duty& duty)
{
    const std::lock_guard lock(duty.status_mutex);
    ++duty.status.dropped_messages;
}

void handle_peer_message(control_duty& duty, incoming_message&& message)
{
    const measured_step step(duty.steps, "handled a message of a peer");
    if (message.kind == wire::proposal)
    {
        accept_forwarded_proposal(duty, message);
        return ensure_expiry_check(duty);
    }
    if (message.kind == wire::proposal_reply)
        return handle_proposal_reply(duty, message);
    auto content = consensus::decode_message(message.body);
    if (!content)
        return count_dropped_message(duty);
    step_core(duty, consensus::received{message.from, std::move(*content)});
}

void handle_storage_report(control_duty& duty, storage_report&& report)
{
    // A report of an earlier start does not concern the present storage.
    if (report.generation != duty.generation)
        return;
    const measured_step step(duty.steps, "handled a report of the storage");
    send_unsent_writes(duty);
    {
        const std::lock_guard lock(duty.status_mutex);
        duty.status.syncs = report.syncs;
        duty.status.stored_bytes = report.written_bytes;
        if (report.failed && !duty.status.failed)
            duty.status.failed = report.failed;
    }
    if (!report.failed)
        return step_core(duty, consensus::storage_synced{report.token});
    const bool first = duty.core.role != role::halted;
    step_core(duty, consensus::storage_broken{});
    if (first && duty.options.on_failure)
        duty.options.on_failure(*report.failed);
}

} // namespace

proposer::proposer(
    control_duty& owner,
    std::size_t capacity,
    std::function<void(control_message&&)> notify_function)
    : notify(std::move(notify_function))
    , inbox(
          owner.loop,
          capacity,
          [this, &owner](proposal&& value)
          {
              accept_proposal(owner, *this, std::move(value));
              ensure_expiry_check(owner);
          })
{
}

control_duty::control_duty(
    control_options options_used,
    state_machine machine_used,
    peers_duty& peers_used)
    : options(std::move(options_used))
    , machine(std::move(machine_used))
    , peers(peers_used)
    , to_peers(make_sender(peers_used, peers_queue_capacity))
    , from_peers(
          loop,
          peers_queue_capacity,
          [this](incoming_message&& message)
          { handle_peer_message(*this, std::move(message)); },
          1)
    , from_storage(
          loop,
          storage_queue_capacity,
          [this](storage_report&& report)
          { handle_storage_report(*this, std::move(report)); },
          1)
    , next_ticket(random_number())
    , next_confirmation(random_number())
{
    steps.on_long_step = options.on_long_step;
}

void publish_status(control_duty& duty)
{
    const consensus::replica& core = duty.core;
    const std::lock_guard lock(duty.status_mutex);
    control_status& status = duty.status;
    status.leader = core.leader;
    status.commit = core.commit;
    status.applied = core.applied;
    status.last_index = consensus::last_index(core.log);
    status.snapshot_index = core.base ? core.base->index : 0;
    status.log_entries = core.log.entries.size();
    status.log_bytes = core.log.bytes;
    if (!(status.members == consensus::members_of(core)))
        status.members = consensus::members_of(core);
    status.admitted = core.hard.admitted;
    status.lease_until = consensus::lease_until(core);
}

void on_timer(control_duty& duty)
{
    const measured_step step(duty.steps, "did what was due");
    const time_point now = steady_now();
    if (consensus::next_tick(duty.core) <= now)
        step_core(duty, consensus::tick{});
    expire_proposals(duty, now);
    start_confirmation(duty, now);
    flush_proposals(duty);
    arm_timer(duty);
}

void arm_timer(control_duty& duty)
{
    const time_point now = steady_now();
    time_point due =
        std::min(consensus::next_tick(duty.core), duty.next_confirmation_at);
    if (!duty.pending.empty() || !duty.logged_proposals.empty() ||
        !duty.forwarded_proposals.empty())
        due = std::min(due, now + expiry_check_interval);
    due = std::max(due, now + 1ms);
    duty.timer.expires_after(due - now);
    duty.timer.async_wait(
        [&duty](const boost::system::error_code& error)
        {
            if (!error)
                on_timer(duty);
        });
}

time_point steady_now()
{
    return uptime();
}

void step_core(control_duty& duty, const consensus::input& input)
{
    const time_point now = steady_now();
    const time_point previous_tick = consensus::next_tick(duty.core);
    const duration processor_time_before = thread_processor_time();
    const std::uint64_t entries_before = duty.since_snapshot.entries;
    for (consensus::action& action : step(duty.core, input, now))
        perform_action(duty, std::move(action));
    if (duty.since_snapshot.entries > entries_before)
        adapt_apply_entries(
            duty,
            duty.since_snapshot.entries - entries_before,
            thread_processor_time() - processor_time_before);
    update_order_permission(duty, now);
    publish_status(duty);
    complete_confirmation(duty);
    take_snapshot_if_due(duty);
    if (consensus::has_unapplied(duty.core))
        schedule_apply(duty);
    if (!duty.pending.empty())
        schedule_flush(duty);
    if (consensus::next_tick(duty.core) < previous_tick)
        arm_timer(duty);
}

void send_to(
    control_duty& duty,
    const node_id& to,
    wire::message_kind kind,
    std::string body)
{
    send(duty.to_peers, {to, kind, std::move(body)});
}

void record(
    control_duty& duty,
    event_kind kind,
    std::uint64_t number,
    const std::string& detail)
{
    if (duty.options.record)
        duty.options.record(kind, number, detail);
}

void control_deleter::operator()(control_duty* duty) const
{
    stop(*duty);
    delete duty;
}

control_handle
make_control(control_options options, state_machine machine, peers_duty& peers)
{
    if (options.seed == 0)
        options.seed = random_number();
    control_handle duty(
        new control_duty(std::move(options), std::move(machine), peers));
    for (const wire::message_kind kind :
         {wire::consensus, wire::proposal, wire::proposal_reply})
        on_message(
            peers,
            kind,
            [&duty = *duty](incoming_message&& message)
            {
                if (!duty.from_peers.push(std::move(message)))
                    count_dropped_message(duty);
            });
    return duty;
}

proposer& make_proposer(
    control_duty& duty,
    std::size_t capacity,
    std::function<void(control_message&&)> notify)
{
    duty.proposers.push_back(
        std::make_unique<proposer>(duty, capacity, std::move(notify)));
    return *duty.proposers.back();
}

void leave(control_duty& duty)
{
    boost::asio::post(
        duty.loop, [&duty] { step_core(duty, consensus::prepare_to_leave{}); });
}

void configure_nodes(control_duty& duty, std::vector<peer_address> nodes)
{
    boost::asio::post(
        duty.loop,
        [&duty, nodes = std::move(nodes)]() mutable
        {
            duty.options.nodes = std::move(nodes);
            step_core(
                duty,
                consensus::configure_nodes{configured_nodes(duty.options)});
        });
}

bool has_left(const control_duty& duty)
{
    const control_status status = status_of(duty);
    return status.role != role::leader &&
           !consensus::is_voter(status.members, duty.options.self);
}

bool propose(proposer& proposer, proposal&& value)
{
    return proposer.inbox.push(std::move(value));
}

control_status status_of(const control_duty& duty)
{
    const std::lock_guard lock(duty.status_mutex);
    return duty.status;
}

const step_times& steps_of(const control_duty& duty)
{
    return duty.steps;
}

std::optional<fence> order_fence(const control_duty& duty, time_point now)
{
    const fence current{duty.order_term, duty.order_index};
    if (now.time_since_epoch().count() >= duty.order_until_us)
        return std::nullopt;
    return current;
}

} // namespace bergamotusher
