#include "daemon/control_duty.hpp"

#include "base/clock.hpp"
#include "consensus/encoding.hpp"
#include "daemon/control_state.hpp"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <random>

namespace bergamotusher
{

namespace
{

using consensus::role;

constexpr std::size_t peers_ring = 8192;
constexpr std::size_t storage_ring = 4096;
/// How often deadlines are looked at.
constexpr duration expiry_step = 20ms;

void send_unsent_writes(control_duty& duty)
{
    while (!duty.unsent_writes.empty() &&
           duty.storage->inbox.push(std::move(duty.unsent_writes.front())))
        duty.unsent_writes.pop_front();
}

void write_out(control_duty& duty, consensus::storage_write&& write)
{
    // In order: behind what waits already.
    duty.unsent_writes.push_back(std::move(write));
    send_unsent_writes(duty);
}

void note_members(control_duty& duty, const consensus::entry& entry)
{
    std::string detail = "voters";
    for (const node_id& voter : entry.members.voters)
        detail += " " + voter.value;
    record(duty, event_kind::voter_changed, entry.index, detail);
}

void apply_entry(control_duty& duty, const consensus::entry& entry)
{
    std::string result;
    if (entry.kind == consensus::entry_kind::command)
        result = duty.machine.apply(entry.index, entry.command);
    else if (entry.kind == consensus::entry_kind::members)
        note_members(duty, entry);
    settle(duty, entry, std::move(result));
}

void restore_state(control_duty& duty, const consensus::snapshot& value)
{
    static const std::string nothing;
    duty.machine.restore(value.index, value.data ? *value.data : nothing);
    duty.snapshotted = value.index;
    settle_up_to(duty, value.index);
    const std::lock_guard lock(duty.status_mutex);
    ++duty.status.snapshots_installed;
}

void note_role(control_duty& duty, const consensus::role_changed& change)
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
        settle_all(duty);
    schedule_flush(duty);
}

void carry_out(control_duty& duty, consensus::action&& action)
{
    using namespace consensus;
    if (auto* out = std::get_if<consensus::send>(&action))
        send_to(duty, out->to, wire::consensus, encode(out->content));
    else if (auto* write = std::get_if<persist>(&action))
        write_out(duty, std::move(*write));
    else if (auto* write = std::get_if<persist_snapshot>(&action))
        write_out(duty, std::move(*write));
    else if (const auto* out = std::get_if<consensus::apply>(&action))
        apply_entry(duty, out->value);
    else if (const auto* out = std::get_if<restore>(&action))
        restore_state(duty, *out->value);
    else if (const auto* out = std::get_if<role_changed>(&action))
        note_role(duty, *out);
    else if (const auto* out = std::get_if<freshness>(&action))
        take_freshness(duty, *out, steady_now());
}

/// Tells other threads until when orders may be given, and the state machine
/// when that begins or ends.
void note_orders(control_duty& duty, time_point now)
{
    const bool may = consensus::may_order(duty.core, now);
    const time_point until =
        may ? consensus::lease_until(duty.core) : time_point{};
    duty.order_term = duty.core.hard.term;
    duty.order_index = duty.core.commit;
    duty.order_until_us = until.time_since_epoch().count();
    if (may == duty.may_order)
        return;
    duty.may_order = may;
    if (!may)
        record(duty, event_kind::lease_lapsed, duty.core.hard.term, "");
    if (duty.machine.on_leadership)
        duty.machine.on_leadership(may, duty.core.hard.term);
}

void take_snapshot_if_due(control_duty& duty)
{
    const std::uint64_t applied = duty.core.applied;
    if (applied < duty.snapshotted + duty.options.snapshot_every ||
        duty.core.taking || duty.core.installing ||
        duty.core.role == role::halted)
        return;
    duty.snapshotted = applied;
    {
        const std::lock_guard lock(duty.status_mutex);
        ++duty.status.snapshots_taken;
    }
    give(
        duty,
        consensus::snapshot_taken{
            applied,
            std::make_shared<const std::string>(duty.machine.snapshot())});
}

/// Wakes the timer early when deadlines begin to matter.
void hasten_timer(control_duty& duty)
{
    // The loop's timers run by the steady clock, not by `steady_now`.
    if (duty.timer.expiry() > std::chrono::steady_clock::now() + expiry_step)
        arm_timer(duty);
}

void drop_message(control_duty& duty)
{
    const std::lock_guard lock(duty.status_mutex);
    ++duty.status.dropped_messages;
}

void take_message(control_duty& duty, incoming_message&& message)
{
    if (message.kind == wire::proposal)
    {
        take_forwarded(duty, message);
        return hasten_timer(duty);
    }
    if (message.kind == wire::proposal_reply)
        return take_reply(duty, message);
    auto content = consensus::decode_message(message.body);
    if (!content)
        return drop_message(duty);
    give(duty, consensus::received{message.from, std::move(*content)});
}

void take_report(control_duty& duty, storage_report&& report)
{
    // A sync of an earlier start says nothing about this one.
    if (report.generation != duty.generation)
        return;
    send_unsent_writes(duty);
    {
        const std::lock_guard lock(duty.status_mutex);
        duty.status.syncs = report.syncs;
        duty.status.stored_bytes = report.written_bytes;
        if (report.failed && !duty.status.failed)
            duty.status.failed = report.failed;
    }
    if (!report.failed)
        return give(duty, consensus::storage_synced{report.token});
    const bool first = duty.core.role != role::halted;
    give(duty, consensus::storage_broken{});
    if (first && duty.options.on_failure)
        duty.options.on_failure(*report.failed);
}

} // namespace

proposer::proposer(
    control_duty& owner,
    std::size_t capacity,
    std::function<void(control_news&&)> news_to)
    : news(std::move(news_to))
    , inbox(
          owner.loop,
          capacity,
          [this, &owner](proposal&& value)
          {
              take_proposal(owner, *this, std::move(value));
              hasten_timer(owner);
          })
{
}

control_duty::control_duty(
    control_options chosen, state_machine plugged, peers_duty& peers_used)
    : options(std::move(chosen))
    , machine(std::move(plugged))
    , peers(peers_used)
    , to_peers(make_sender(peers_used, peers_ring))
    , from_peers(
          loop,
          peers_ring,
          [this](incoming_message&& message)
          { take_message(*this, std::move(message)); })
    , from_storage(
          loop,
          storage_ring,
          [this](storage_report&& report)
          { take_report(*this, std::move(report)); })
{
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
    if (!(status.members == consensus::members_of(core)))
        status.members = consensus::members_of(core);
    status.admitted = core.hard.admitted;
    status.lease_until = consensus::lease_until(core);
}

void on_timer(control_duty& duty)
{
    const time_point now = steady_now();
    if (consensus::next_tick(duty.core) <= now)
        give(duty, consensus::tick{});
    expire_proposals(duty, now);
    ask_confirmation(duty, now);
    flush_proposals(duty);
    arm_timer(duty);
}

void arm_timer(control_duty& duty)
{
    const time_point now = steady_now();
    time_point due = std::min(consensus::next_tick(duty.core), duty.confirm_at);
    if (!duty.held.empty() || !duty.logged.empty() || !duty.forwarded.empty())
        due = std::min(due, now + expiry_step);
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

void give(control_duty& duty, const consensus::input& input)
{
    const time_point now = steady_now();
    const time_point was_due = consensus::next_tick(duty.core);
    for (consensus::action& action : step(duty.core, input, now))
        carry_out(duty, std::move(action));
    note_orders(duty, now);
    publish_status(duty);
    check_confirmation(duty);
    take_snapshot_if_due(duty);
    if (!duty.held.empty())
        schedule_flush(duty);
    if (consensus::next_tick(duty.core) < was_due)
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
    {
        std::random_device device;
        options.seed = (std::uint64_t{device()} << 32U) | device();
    }
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
                    drop_message(duty);
            });
    return duty;
}

proposer& make_proposer(
    control_duty& duty,
    std::size_t capacity,
    std::function<void(control_news&&)> news)
{
    duty.proposers.push_back(
        std::make_unique<proposer>(duty, capacity, std::move(news)));
    return *duty.proposers.back();
}

void leave(control_duty& duty)
{
    boost::asio::post(duty.loop, [&duty] { give(duty, consensus::leave{}); });
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

std::optional<fence> order_fence(const control_duty& duty, time_point now)
{
    const fence current{duty.order_term, duty.order_index};
    if (now.time_since_epoch().count() >= duty.order_until_us)
        return std::nullopt;
    return current;
}

} // namespace bergamotusher
