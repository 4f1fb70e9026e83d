#include "daemon/control_state.hpp"
#include "wire/consensus.pb.h"

#include <boost/asio/post.hpp>

#include <algorithm>

namespace bergamotusher
{

namespace
{

namespace pb = wire::replica;

void count_outcome(control_duty& duty, proposal_outcome outcome)
{
    const std::lock_guard lock(duty.status_mutex);
    if (outcome == proposal_outcome::committed)
        ++duty.status.committed;
    else if (outcome == proposal_outcome::not_committed)
        ++duty.status.not_committed;
    else
        ++duty.status.unknown;
}

pb::forwarded_answer::outcome_kind to_wire(proposal_outcome outcome)
{
    if (outcome == proposal_outcome::committed)
        return pb::forwarded_answer::committed;
    if (outcome == proposal_outcome::not_committed)
        return pb::forwarded_answer::not_committed;
    return pb::forwarded_answer::unknown;
}

/// Answers a proposal. All answers go through here, so that outcomes are
/// counted and `accepted_remote` stays correct.
void answer(
    control_duty& duty,
    const proposal_sender& sender,
    proposal_outcome outcome,
    std::string result = {},
    std::uint64_t index = 0)
{
    if (sender.local != nullptr)
    {
        count_outcome(duty, outcome);
        sender.local->notify(
            proposal_answer{sender.ticket, outcome, std::move(result), index});
        return;
    }
    duty.accepted_remote.erase(
        {sender.remote, sender.incarnation, sender.ticket});
    pb::forwarded_answer reply;
    reply.set_ticket(sender.ticket);
    reply.set_outcome(to_wire(outcome));
    reply.set_result(std::move(result));
    reply.set_index(index);
    send_to(
        duty, sender.remote, wire::proposal_reply, reply.SerializeAsString());
}

void enqueue(control_duty& duty, pending_proposal&& value)
{
    // Proposals may have waited while the replica was not open.
    if (value.sender.deadline <= steady_now() ||
        duty.pending.size() + duty.forwarded_proposals.size() >=
            duty.options.max_waiting_proposals)
        return answer(duty, value.sender, proposal_outcome::not_committed);
    duty.pending.push_back(std::move(value));
    schedule_flush(duty);
}

/// Appends the pending proposals to the log as one batch, as far as the limits
/// on uncommitted and unapplied entries allow.
void append_pending(control_duty& duty)
{
    consensus::propose batch;
    std::vector<proposal_sender> senders;
    std::deque<pending_proposal> all = std::exchange(duty.pending, {});
    const consensus::limits& limits = duty.options.limits;
    const std::uint64_t room =
        limits.uncommitted -
        std::min<std::uint64_t>(
            consensus::last_index(duty.core.log) - duty.core.commit,
            limits.uncommitted);
    std::size_t bytes = consensus::unapplied_bytes(duty.core);
    while (!all.empty() && batch.commands.size() < room)
    {
        const std::size_t size = all.front().command.size();
        if (bytes > 0 && bytes + size > limits.unapplied_bytes)
            break;
        bytes += size;
        senders.push_back(std::move(all.front().sender));
        batch.commands.push_back(std::move(all.front().command));
        all.pop_front();
    }
    // The others wait until entries are committed.
    duty.pending = std::move(all);
    if (senders.empty())
        return;
    const std::uint64_t first = consensus::last_index(duty.core.log) + 1;
    const std::uint64_t term = duty.core.hard.term;
    for (std::size_t i = 0; i < senders.size(); ++i)
    {
        // A proposal of an earlier term at this index is no longer in this log,
        // but another replica may still hold it and commit it.
        const auto found = duty.logged_proposals.find(first + i);
        if (found != duty.logged_proposals.end())
            answer(duty, found->second.sender, proposal_outcome::unknown);
        duty.logged_proposals[first + i] = {std::move(senders[i]), term};
    }
    step_core(duty, batch);
}

void forward(control_duty& duty, pending_proposal&& value, time_point now)
{
    const duration left = value.sender.deadline - now;
    pb::forwarded_proposal message;
    message.set_ticket(duty.next_ticket);
    message.set_command(value.command);
    message.set_time_left_us(
        static_cast<std::uint64_t>(std::max<std::int64_t>(left.count(), 0)));
    duty.forwarded_proposals[duty.next_ticket] = value.sender;
    duty.forwarded_commands[duty.next_ticket] = std::move(value.command);
    ++duty.next_ticket;
    send_to(
        duty, duty.core.leader, wire::proposal, message.SerializeAsString());
    const std::lock_guard lock(duty.status_mutex);
    ++duty.status.forwarded;
}

/// Forwards the pending proposals of this process. Those of other nodes are
/// answered `not_committed`, so that they find the leader themselves.
void forward_pending(control_duty& duty)
{
    const time_point now = steady_now();
    std::deque<pending_proposal> all = std::exchange(duty.pending, {});
    for (pending_proposal& value : all)
    {
        if (value.sender.local == nullptr)
            answer(duty, value.sender, proposal_outcome::not_committed);
        else
            forward(duty, std::move(value), now);
    }
}

template<class Map, class SenderOf>
void expire(
    control_duty& duty, Map& waiting, time_point now, SenderOf sender_of)
{
    std::vector<proposal_sender> expired;
    for (auto i = waiting.begin(); i != waiting.end();)
    {
        if (sender_of(i->second).deadline > now)
        {
            ++i;
            continue;
        }
        expired.push_back(sender_of(i->second));
        i = waiting.erase(i);
    }
    for (const proposal_sender& sender : expired)
        answer(duty, sender, proposal_outcome::unknown);
}

void expire_pending(control_duty& duty, time_point now)
{
    std::deque<pending_proposal> all = std::exchange(duty.pending, {});
    for (pending_proposal& value : all)
    {
        // It was never appended or forwarded, so it cannot be committed.
        if (value.sender.deadline <= now)
            answer(duty, value.sender, proposal_outcome::not_committed);
        else
            duty.pending.push_back(std::move(value));
    }
}

const proposal_sender& logged_sender(const logged_proposal& value)
{
    return value.sender;
}

const proposal_sender& forwarded_sender(const proposal_sender& value)
{
    return value;
}

} // namespace

void accept_proposal(control_duty& duty, proposer& from, proposal&& value)
{
    {
        const std::lock_guard lock(duty.status_mutex);
        ++duty.status.proposals;
    }
    enqueue(
        duty,
        {{&from, {}, 0, value.ticket, value.deadline},
         std::move(value.command)});
}

void accept_forwarded_proposal(
    control_duty& duty, const incoming_message& message)
{
    pb::forwarded_proposal received;
    if (!received.ParseFromString(message.body))
        return;
    // A duplicate of a proposal that is not answered yet must not be appended.
    if (!duty.accepted_remote
             .emplace(message.from, message.incarnation, received.ticket())
             .second)
        return;
    const time_point deadline =
        steady_now() +
        duration(static_cast<std::int64_t>(received.time_left_us()));
    enqueue(
        duty,
        {{nullptr,
          message.from,
          message.incarnation,
          received.ticket(),
          deadline},
         received.command()});
}

void handle_proposal_reply(control_duty& duty, const incoming_message& message)
{
    pb::forwarded_answer received;
    if (!received.ParseFromString(message.body))
        return;
    const auto found = duty.forwarded_proposals.find(received.ticket());
    if (found == duty.forwarded_proposals.end())
        return;
    const proposal_sender sender = found->second;
    std::string command = std::move(duty.forwarded_commands[received.ticket()]);
    duty.forwarded_proposals.erase(found);
    duty.forwarded_commands.erase(received.ticket());
    if (received.outcome() == pb::forwarded_answer::committed)
        return answer(
            duty,
            sender,
            proposal_outcome::committed,
            received.result(),
            received.index());
    if (received.outcome() != pb::forwarded_answer::not_committed)
        return answer(duty, sender, proposal_outcome::unknown);
    // The proposal is in no log, so it can be sent again until its deadline.
    duty.pending.push_back({sender, std::move(command)});
}

void schedule_flush(control_duty& duty)
{
    if (std::exchange(duty.flush_scheduled, true))
        return;
    boost::asio::post(
        duty.loop,
        [&duty]
        {
            const measured_step step(duty.steps, "passed proposals on");
            duty.flush_scheduled = false;
            flush_proposals(duty);
        });
}

void flush_proposals(control_duty& duty)
{
    using consensus::role;
    if (duty.pending.empty())
        return;
    if (consensus::accepts_proposals(duty.core, steady_now()))
        append_pending(duty);
    else if (duty.core.role == role::halted)
        answer_all_proposals(duty);
    else if (!duty.core.leader.empty() && duty.core.leader != duty.options.self)
        forward_pending(duty);
}

void answer_applied(
    control_duty& duty, const consensus::entry& entry, std::string result)
{
    const auto found = duty.logged_proposals.find(entry.index);
    if (found == duty.logged_proposals.end())
        return;
    const logged_proposal waiting = std::move(found->second);
    duty.logged_proposals.erase(found);
    // Another entry was committed at this index, so the proposal never will be.
    if (waiting.term != entry.term)
        return answer(duty, waiting.sender, proposal_outcome::not_committed);
    answer(
        duty,
        waiting.sender,
        proposal_outcome::committed,
        std::move(result),
        entry.index);
}

void answer_replaced_by_snapshot(control_duty& duty, std::uint64_t index)
{
    while (!duty.logged_proposals.empty() &&
           duty.logged_proposals.begin()->first <= index)
    {
        const proposal_sender sender =
            duty.logged_proposals.begin()->second.sender;
        duty.logged_proposals.erase(duty.logged_proposals.begin());
        answer(duty, sender, proposal_outcome::unknown);
    }
}

void expire_proposals(control_duty& duty, time_point now)
{
    expire_pending(duty, now);
    expire(duty, duty.logged_proposals, now, logged_sender);
    expire(duty, duty.forwarded_proposals, now, forwarded_sender);
    for (auto i = duty.forwarded_commands.begin();
         i != duty.forwarded_commands.end();)
    {
        if (duty.forwarded_proposals.count(i->first) == 0)
            i = duty.forwarded_commands.erase(i);
        else
            ++i;
    }
}

void answer_all_proposals(control_duty& duty)
{
    expire_pending(duty, time_point::max());
    expire(duty, duty.logged_proposals, time_point::max(), logged_sender);
    expire(duty, duty.forwarded_proposals, time_point::max(), forwarded_sender);
    duty.forwarded_commands.clear();
}

} // namespace bergamotusher
