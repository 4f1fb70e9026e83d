#include "consensus/encoding.hpp"
#include "daemon/control_state.hpp"

#include <algorithm>

namespace bergamotusher
{

namespace
{

using consensus::membership;

/// Asks the leader alone while it answers, else every voter.
void ask_others(control_duty& duty)
{
    const std::string body = consensus::encode(
        consensus::message{consensus::freshness_query{duty.asking->token}});
    const node_id& leader = duty.core.leader;
    const node_id& self = duty.options.self;
    if (duty.leader_confirmed && !leader.empty() && leader != self)
        return send_to(duty, leader, wire::consensus, body);
    for (const node_id& voter : consensus::members_of(duty.core).voters)
        if (voter != self)
            send_to(duty, voter, wire::consensus, body);
}

/// Once voters that meet every quorum have answered, nothing above the highest
/// of their last indexes can have been committed when they were asked.
void count_voters(control_duty& duty)
{
    const membership& members = consensus::members_of(duty.core);
    std::vector<std::uint64_t> indexes;
    for (const auto& [id, index] : duty.asking->voters)
        if (consensus::is_voter(members, id))
            indexes.push_back(index);
    const std::size_t wanted = consensus::blocking_size(members.voters.size());
    if (wanted == 0 || indexes.size() < wanted)
        return;
    std::sort(indexes.begin(), indexes.end());
    duty.asking->needed = std::min(
        duty.asking->needed.value_or(indexes[wanted - 1]), indexes[wanted - 1]);
}

void renew(control_duty& duty, time_point asked_at)
{
    const time_point until = asked_at + duty.options.configuration_lease;
    {
        const std::lock_guard lock(duty.status_mutex);
        duty.status.configuration_until = until;
    }
    for (const auto& proposer : duty.proposers)
        proposer->news(configuration_lease{until});
}

} // namespace

void ask_confirmation(control_duty& duty, time_point now)
{
    if (now < duty.confirm_at || duty.core.role == consensus::role::halted)
        return;
    duty.confirm_at = now + duty.options.confirm_every;
    duty.leader_confirmed = duty.leader_confirmed && !duty.asking;
    duty.asking = confirmation{duty.next_confirmation++, now, {}, {}};
    if (const auto index = consensus::lease_read(duty.core, now))
        duty.asking->needed = *index;
    else if (
        duty.core.hard.admitted &&
        consensus::is_voter(
            consensus::members_of(duty.core), duty.options.self))
    {
        duty.asking->voters[duty.options.self] =
            consensus::last_index(duty.core.log);
        count_voters(duty);
    }
    if (!duty.asking->needed)
        ask_others(duty);
    check_confirmation(duty);
}

void take_freshness(
    control_duty& duty, const consensus::freshness& answer, time_point)
{
    if (!duty.asking || duty.asking->token != answer.answer.token)
        return;
    if (answer.answer.from_leader)
    {
        duty.asking->needed = answer.answer.index;
        duty.leader_confirmed = true;
    }
    else
    {
        duty.asking->voters[answer.from] = answer.answer.index;
        count_voters(duty);
    }
    check_confirmation(duty);
}

void check_confirmation(control_duty& duty)
{
    if (!duty.asking || !duty.asking->needed ||
        duty.core.applied < *duty.asking->needed)
        return;
    const time_point asked_at = duty.asking->asked_at;
    duty.asking.reset();
    renew(duty, asked_at);
}

} // namespace bergamotusher
