#include "daemon/control_state.hpp"
#include "wire/consensus.pb.h"

#include <boost/asio/post.hpp>

#include <algorithm>

namespace bergamotusher
{

namespace
{

namespace pb = wire::replica;

void count(control_duty& duty, proposal_outcome outcome)
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

/// The only place that answers a proposal.
void answer(
    control_duty& duty,
    const proposal_origin& origin,
    proposal_outcome outcome,
    std::string result = {},
    std::uint64_t index = 0)
{
    if (origin.local != nullptr)
    {
        count(duty, outcome);
        origin.local->news(
            proposal_answer{origin.ticket, outcome, std::move(result), index});
        return;
    }
    duty.taken.erase({origin.remote, origin.incarnation, origin.ticket});
    pb::forwarded_answer reply;
    reply.set_ticket(origin.ticket);
    reply.set_outcome(to_wire(outcome));
    reply.set_result(std::move(result));
    reply.set_index(index);
    send_to(
        duty, origin.remote, wire::proposal_reply, reply.SerializeAsString());
}

void hold(control_duty& duty, held_proposal&& value)
{
    if (duty.held.size() + duty.forwarded.size() >= duty.options.waiting_max)
        return answer(duty, value.origin, proposal_outcome::not_committed);
    duty.held.push_back(std::move(value));
    schedule_flush(duty);
}

/// Appends all that is held, as one batch.
void propose_held(control_duty& duty)
{
    consensus::propose batch;
    std::vector<proposal_origin> origins;
    std::deque<held_proposal> all = std::exchange(duty.held, {});
    const std::uint64_t room =
        duty.options.limits.uncommitted -
        std::min<std::uint64_t>(
            consensus::last_index(duty.core.log) - duty.core.commit,
            duty.options.limits.uncommitted);
    while (!all.empty() && batch.commands.size() < room)
    {
        origins.push_back(std::move(all.front().origin));
        batch.commands.push_back(std::move(all.front().command));
        all.pop_front();
    }
    // The rest waits until entries are committed.
    duty.held = std::move(all);
    if (origins.empty())
        return;
    const std::uint64_t first = consensus::last_index(duty.core.log) + 1;
    const std::uint64_t term = duty.core.hard.term;
    for (std::size_t i = 0; i < origins.size(); ++i)
    {
        // An entry of an earlier term that stood here is gone from this log,
        // but another replica may still hold it.
        const auto found = duty.logged.find(first + i);
        if (found != duty.logged.end())
            answer(duty, found->second.origin, proposal_outcome::unknown);
        duty.logged[first + i] = {std::move(origins[i]), term};
    }
    give(duty, batch);
}

void forward(control_duty& duty, held_proposal&& value, time_point now)
{
    const duration left = value.origin.deadline - now;
    pb::forwarded_proposal message;
    message.set_ticket(duty.next_ticket);
    message.set_command(value.command);
    message.set_time_left_us(
        static_cast<std::uint64_t>(std::max<std::int64_t>(left.count(), 0)));
    duty.forwarded[duty.next_ticket] = value.origin;
    duty.forwarded_commands[duty.next_ticket] = std::move(value.command);
    ++duty.next_ticket;
    send_to(
        duty, duty.core.leader, wire::proposal, message.SerializeAsString());
    const std::lock_guard lock(duty.status_mutex);
    ++duty.status.forwarded;
}

/// A node never forwards for another: that one finds the leader itself.
void forward_held(control_duty& duty)
{
    const time_point now = steady_now();
    std::deque<held_proposal> all = std::exchange(duty.held, {});
    for (held_proposal& value : all)
    {
        if (value.origin.local == nullptr)
            answer(duty, value.origin, proposal_outcome::not_committed);
        else
            forward(duty, std::move(value), now);
    }
}

template<class Map, class OriginOf>
void expire(
    control_duty& duty, Map& waiting, time_point now, OriginOf origin_of)
{
    std::vector<proposal_origin> expired;
    for (auto i = waiting.begin(); i != waiting.end();)
    {
        if (origin_of(i->second).deadline > now)
        {
            ++i;
            continue;
        }
        expired.push_back(origin_of(i->second));
        i = waiting.erase(i);
    }
    for (const proposal_origin& origin : expired)
        answer(duty, origin, proposal_outcome::unknown);
}

void expire_held(control_duty& duty, time_point now)
{
    std::deque<held_proposal> all = std::exchange(duty.held, {});
    for (held_proposal& value : all)
    {
        // It never left this process.
        if (value.origin.deadline <= now)
            answer(duty, value.origin, proposal_outcome::not_committed);
        else
            duty.held.push_back(std::move(value));
    }
}

const proposal_origin& logged_origin(const logged_proposal& value)
{
    return value.origin;
}

const proposal_origin& forwarded_origin(const proposal_origin& value)
{
    return value;
}

} // namespace

void take_proposal(control_duty& duty, proposer& from, proposal&& value)
{
    {
        const std::lock_guard lock(duty.status_mutex);
        ++duty.status.proposals;
    }
    hold(
        duty,
        {{&from, {}, 0, value.ticket, value.deadline},
         std::move(value.command)});
}

void take_forwarded(control_duty& duty, const incoming_message& message)
{
    pb::forwarded_proposal from;
    if (!from.ParseFromString(message.body))
        return;
    // A copy of one that is being worked on must not be appended again.
    if (!duty.taken.emplace(message.from, message.incarnation, from.ticket())
             .second)
        return;
    const time_point deadline =
        steady_now() + duration(static_cast<std::int64_t>(from.time_left_us()));
    hold(
        duty,
        {{nullptr, message.from, message.incarnation, from.ticket(), deadline},
         from.command()});
}

void take_reply(control_duty& duty, const incoming_message& message)
{
    pb::forwarded_answer from;
    if (!from.ParseFromString(message.body))
        return;
    const auto found = duty.forwarded.find(from.ticket());
    if (found == duty.forwarded.end())
        return;
    const proposal_origin origin = found->second;
    std::string command = std::move(duty.forwarded_commands[from.ticket()]);
    duty.forwarded.erase(found);
    duty.forwarded_commands.erase(from.ticket());
    if (from.outcome() == pb::forwarded_answer::committed)
        return answer(
            duty,
            origin,
            proposal_outcome::committed,
            from.result(),
            from.index());
    if (from.outcome() != pb::forwarded_answer::not_committed)
        return answer(duty, origin, proposal_outcome::unknown);
    // Certainly not in any log: it may be tried again in the time left.
    duty.held.push_back({origin, std::move(command)});
}

void schedule_flush(control_duty& duty)
{
    if (std::exchange(duty.flush_scheduled, true))
        return;
    boost::asio::post(
        duty.loop,
        [&duty]
        {
            duty.flush_scheduled = false;
            flush_proposals(duty);
        });
}

void flush_proposals(control_duty& duty)
{
    using consensus::role;
    if (duty.held.empty())
        return;
    if (consensus::takes_proposals(duty.core, steady_now()))
        propose_held(duty);
    else if (duty.core.role == role::halted)
        settle_all(duty);
    else if (!duty.core.leader.empty() && duty.core.leader != duty.options.self)
        forward_held(duty);
}

void settle(
    control_duty& duty, const consensus::entry& entry, std::string result)
{
    const auto found = duty.logged.find(entry.index);
    if (found == duty.logged.end())
        return;
    const logged_proposal waiting = std::move(found->second);
    duty.logged.erase(found);
    // Another entry was committed in its place: it never will be.
    if (waiting.term != entry.term)
        return answer(duty, waiting.origin, proposal_outcome::not_committed);
    answer(
        duty,
        waiting.origin,
        proposal_outcome::committed,
        std::move(result),
        entry.index);
}

void settle_up_to(control_duty& duty, std::uint64_t index)
{
    while (!duty.logged.empty() && duty.logged.begin()->first <= index)
    {
        const proposal_origin origin = duty.logged.begin()->second.origin;
        duty.logged.erase(duty.logged.begin());
        answer(duty, origin, proposal_outcome::unknown);
    }
}

void expire_proposals(control_duty& duty, time_point now)
{
    expire_held(duty, now);
    expire(duty, duty.logged, now, logged_origin);
    expire(duty, duty.forwarded, now, forwarded_origin);
    for (auto i = duty.forwarded_commands.begin();
         i != duty.forwarded_commands.end();)
    {
        if (duty.forwarded.count(i->first) == 0)
            i = duty.forwarded_commands.erase(i);
        else
            ++i;
    }
}

void settle_all(control_duty& duty)
{
    expire_held(duty, time_point::max());
    expire(duty, duty.logged, time_point::max(), logged_origin);
    expire(duty, duty.forwarded, time_point::max(), forwarded_origin);
    duty.forwarded_commands.clear();
}

} // namespace bergamotusher
