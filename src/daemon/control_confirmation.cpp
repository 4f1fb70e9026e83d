#include "consensus/encoding.hpp"
#include "daemon/control_state.hpp"

#include <algorithm>

namespace bergamotusher
{

namespace
{

using consensus::membership;

/// Sends the query to the leader if it answered the previous round, else to
/// every voter.
void query_peers(control_duty& duty, const confirmation& round)
{
    const std::string body = consensus::encode(
        consensus::message{consensus::freshness_query{round.token}});
    const node_id& leader = duty.core.leader;
    const node_id& self = duty.options.self;
    if (duty.leader_answered && !leader.empty() && leader != self)
        return send_to(duty, leader, wire::consensus, body);
    for (const node_id& voter : consensus::members_of(duty.core).voters)
        if (voter != self)
            send_to(duty, voter, wire::consensus, body);
}

/// Once the voters that answered intersect every quorum, no index above the
/// highest of their last indexes can have been committed when they were asked.
void update_required_index(const control_duty& duty, confirmation& round)
{
    const membership& members = consensus::members_of(duty.core);
    std::vector<std::uint64_t> indexes;
    for (const auto& [id, index] : round.voter_indexes)
        if (consensus::is_voter(members, id))
            indexes.push_back(index);
    const std::size_t answers_needed =
        consensus::blocking_set_size(members.voters.size());
    if (answers_needed == 0 || indexes.size() < answers_needed)
        return;
    std::sort(indexes.begin(), indexes.end());
    round.required_index = std::min(
        round.required_index.value_or(indexes[answers_needed - 1]),
        indexes[answers_needed - 1]);
}

void abandon_old_rounds(control_duty& duty, time_point now)
{
    auto& rounds = duty.confirmations;
    while (!rounds.empty() &&
           now - rounds.front().asked_at >= duty.options.configuration_lease)
    {
        rounds.pop_front();
        const std::lock_guard lock(duty.status_mutex);
        ++duty.status.abandoned_confirmations;
    }
}

void renew_lease(control_duty& duty, time_point asked_at)
{
    const time_point until = asked_at + duty.options.configuration_lease;
    for (const auto& proposer : duty.proposers)
        proposer->notify(configuration_lease{until, asked_at});
}

} // namespace

void start_confirmation(control_duty& duty, time_point now)
{
    if (now < duty.next_confirmation_at ||
        duty.core.role == consensus::role::halted)
        return;
    duty.next_confirmation_at = now + duty.options.confirmation_interval;
    abandon_old_rounds(duty, now);
    duty.leader_answered =
        duty.leader_answered &&
        (duty.confirmations.empty() ||
         duty.confirmations.back().required_index.has_value());
    confirmation round{
        duty.next_confirmation++,
        now,
        {},
        duty.core.memberships.back().first,
        {}};
    if (const auto index = consensus::lease_read(duty.core, now))
        round.required_index = *index;
    else if (
        duty.core.hard.admitted &&
        consensus::is_voter(
            consensus::members_of(duty.core), duty.options.self))
    {
        round.voter_indexes[duty.options.self] =
            consensus::last_index(duty.core.log);
        update_required_index(duty, round);
    }
    if (!round.required_index)
        query_peers(duty, round);
    duty.confirmations.push_back(std::move(round));
    complete_confirmation(duty);
}

void handle_freshness(
    control_duty& duty, const consensus::freshness_answered& answer, time_point)
{
    auto& rounds = duty.confirmations;
    const auto round = std::find_if(
        rounds.begin(),
        rounds.end(),
        [&](const confirmation& each)
        { return each.token == answer.answer.token; });
    if (round == rounds.end())
        return;
    if (answer.answer.from_leader)
    {
        round->required_index = answer.answer.index;
        duty.leader_answered = true;
    }
    else if (round->members_index == duty.core.memberships.back().first)
    {
        round->voter_indexes[answer.from] = answer.answer.index;
        update_required_index(duty, *round);
    }
    complete_confirmation(duty);
}

void complete_confirmation(control_duty& duty)
{
    auto& rounds = duty.confirmations;
    const auto newest_applied = std::find_if(
        rounds.rbegin(),
        rounds.rend(),
        [&](const confirmation& round) {
            return round.required_index &&
                   duty.core.applied >= *round.required_index;
        });
    if (newest_applied == rounds.rend())
        return;
    const time_point asked_at = newest_applied->asked_at;
    rounds.erase(rounds.begin(), newest_applied.base());
    renew_lease(duty, asked_at);
}

} // namespace bergamotusher
