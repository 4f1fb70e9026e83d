#include "consensus/replica.hpp"

#include "consensus/internal.hpp"

#include <algorithm>
#include <type_traits>

namespace bergamotusher::consensus
{

namespace
{

template<class... F>
struct overloaded : F...
{
    using F::operator()...;
};
template<class... F>
overloaded(F...) -> overloaded<F...>;

/// True if a sync has been outstanding for the maximum election timeout.
bool storage_is_stuck(const replica& replica, time_point now)
{
    return !replica.outstanding_syncs.empty() &&
           now - replica.outstanding_syncs.begin()->second.since >
               replica.options.timing.election_max;
}

/// Steps down if no quorum answers or the storage is stuck; otherwise repairs
/// the membership and sends heartbeats when due.
void tick_leader(replica& replica, actions& out, time_point now)
{
    const duration quorum_timeout = replica.options.timing.election_max;
    const bool silent = now - replica.elected_at > quorum_timeout &&
                        quorum_acked_at(replica) < now - quorum_timeout;
    if (silent || storage_is_stuck(replica, now))
        return become_follower(replica, out, replica.hard.term, {}, now);
    if (now < replica.heartbeat_at)
        return;
    repair_members(replica, out, now);
    heartbeat(replica, out, now);
    if (replica.leaving)
        transfer_leadership(replica, out, now);
}

/// Asks to join if not admitted, and starts an election when due.
void tick_non_leader(replica& replica, actions& out, time_point now)
{
    if (!replica.hard.admitted)
        join_if_due(replica, out, now);
    if (now < replica.election_at)
        return;
    forget_leader(replica);
    // This replica may have been removed while it was cut off; the leader then
    // adds it again.
    if (replica.options.limits.every_member_votes)
        send_join_queries(replica, out);
    if (may_campaign(replica, now))
        start_pre_vote(replica, out, now);
    else
        reset_election_timer(replica, now);
}

void append_commands(
    replica& replica, actions& out, const propose& input, time_point now)
{
    const log_index last = last_index(replica.log);
    if (!accepts_proposals(replica, now))
        return out.emplace_back(refused{error_kind::not_leader}), void();
    std::size_t bytes = unapplied_bytes(replica);
    if (bytes > 0)
        for (const std::string& command : input.commands)
            bytes += command.size();
    if (last - replica.commit + input.commands.size() >
            replica.options.limits.uncommitted ||
        bytes > replica.options.limits.unapplied_bytes)
        return out.emplace_back(refused{error_kind::overloaded}), void();
    for (const std::string& command : input.commands)
        append_as_leader(replica, entry{.command = command, .members = {}});
    out.emplace_back(
        proposed{last + 1, input.commands.size(), replica.hard.term});
    replicate(replica, out, now);
}

/// Everything up to `token` is synced: sends the messages that waited for it
/// and advances what depends on it.
void handle_synced(
    replica& replica, actions& out, std::uint64_t token, time_point now)
{
    while (!replica.outstanding_syncs.empty() &&
           replica.outstanding_syncs.begin()->first <= token)
    {
        const log_index last = replica.outstanding_syncs.begin()->second.last;
        replica.synced_index = std::max(replica.synced_index, last);
        replica.outstanding_syncs.erase(replica.outstanding_syncs.begin());
    }
    replica.synced_token = std::max(replica.synced_token, token);
    complete_synced_snapshots(replica, out, now);
    for (const deferred_message& deferred : replica.deferred_messages)
        if (deferred.token <= replica.synced_token)
            send_now(out, deferred.to, deferred.content);
    replica.deferred_messages.erase(
        std::remove_if(
            replica.deferred_messages.begin(),
            replica.deferred_messages.end(),
            [&](const deferred_message& deferred)
            { return deferred.token <= replica.synced_token; }),
        replica.deferred_messages.end());
    count_own_vote(replica, out, now);
    if (replica.role == role::leader)
        advance_commit(replica, out, now);
}

void halt(replica& replica, actions& out)
{
    fail_reads(replica, out);
    replica.role = role::halted;
    replica.leader = {};
    replica.deferred_messages.clear();
    announce_role(replica, out);
}

void dispatch(
    replica& replica, actions& out, const input& input, time_point now)
{
    std::visit(
        overloaded{
            [&](const tick&)
            {
                if (replica.role == role::leader)
                    tick_leader(replica, out, now);
                else
                    tick_non_leader(replica, out, now);
            },
            [](const apply_more&) {},
            [&](const received& in)
            {
                replica.silent_since.erase(in.from);
                std::visit(
                    [&](const auto& content)
                    { handle(replica, out, in.from, content, now); },
                    in.content);
            },
            [&](const propose& in) { append_commands(replica, out, in, now); },
            [&](const change_members& in)
            {
                if (!append_membership(replica, out, in.members, now))
                    out.emplace_back(refused{error_kind::not_leader});
            },
            [&](const configure_nodes& in)
            { replica.options.nodes = in.nodes; },
            [&](const prepare_to_leave&) { replica.leaving = true; },
            [&](const storage_synced& in)
            { handle_synced(replica, out, in.token, now); },
            [&](const storage_broken&) { halt(replica, out); },
            [&](const snapshot_taken& in)
            { persist_taken_snapshot(replica, out, in, now); },
            [&](const read_index& in)
            {
                start_read(replica, out, in, now);
            }},
        input);
}

void recover_memberships(replica& replica, const recovered_state& recovered)
{
    const replica_options& options = replica.options;
    if (recovered.base.index > 0)
        replica.memberships.emplace_back(
            recovered.base.index, recovered.base.members);
    else
        replica.memberships.emplace_back(
            0, initial_membership(options.nodes, options.limits.wanted_voters));
    for (const entry& entry : recovered.entries)
        record_membership(replica, entry);
}

} // namespace

bool may_campaign(const replica& replica, time_point now)
{
    return replica.hard.admitted && !replica.installing_snapshot &&
           is_voter(members_of(replica), replica.options.self) &&
           !storage_is_stuck(replica, now);
}

void send_now(actions& out, const node_id& to, message content)
{
    out.emplace_back(send{to, std::move(content)});
}

std::uint64_t covering_sync_token(const replica& replica)
{
    const bool changed = replica.hard_changed ||
                         replica.persisted_index < last_index(replica.log);
    return changed ? replica.next_token : replica.next_token - 1;
}

void send_after_sync(
    replica& replica, actions& out, const node_id& to, message content)
{
    const std::uint64_t token = covering_sync_token(replica);
    if (token <= replica.synced_token)
        send_now(out, to, std::move(content));
    else
        replica.deferred_messages.push_back({token, to, std::move(content)});
}

void persist_changes(replica& replica, actions& out, time_point now)
{
    const std::uint64_t token = covering_sync_token(replica);
    if (token < replica.next_token)
        return;
    const log_index last = last_index(replica.log);
    persist write{token, replica.hard, {}};
    for (log_index i = replica.persisted_index + 1; i <= last; ++i)
        write.entries.push_back(entry_at(replica.log, i));
    out.emplace_back(std::move(write));
    replica.outstanding_syncs[token] = {last, now};
    replica.persisted_index = last;
    replica.hard_changed = false;
    ++replica.next_token;
}

void announce_role(const replica& replica, actions& out)
{
    out.emplace_back(
        role_changed{replica.role, replica.hard.term, replica.leader});
}

replica
make_replica(replica_options options, recovered_state recovered, time_point now)
{
    replica result;
    result.random_state = options.seed;
    result.options = std::move(options);
    result.hard = recovered.hard;
    recover_memberships(result, recovered);
    result.log.base_index = recovered.base.index;
    result.log.base_term = recovered.base.term;
    for (entry& each : recovered.entries)
        append(result.log, std::move(each));
    if (recovered.base.index > 0)
        result.base =
            std::make_shared<const snapshot>(std::move(recovered.base));
    result.commit = result.log.base_index;
    result.applied = result.log.base_index;
    result.synced_index = last_index(result.log);
    result.persisted_index = result.synced_index;
    result.leader_heard_at = now;
    result.join_query_sent_at = now - result.options.timing.heartbeat;
    const membership& members = members_of(result);
    for (const auto* ids : {&members.voters, &members.learners})
        for (const node_id& id : *ids)
            result.silent_since.emplace(id, now);
    reset_election_timer(result, now);
    return result;
}

actions step(replica& replica, const input& input, time_point now)
{
    actions out;
    if (replica.role == role::halted)
    {
        if (std::holds_alternative<propose>(input))
            out.emplace_back(refused{error_kind::storage_failed});
        if (const auto* read = std::get_if<read_index>(&input))
            out.emplace_back(read_failed{read->token});
        return out;
    }
    dispatch(replica, out, input, now);
    if (replica.role == role::halted)
        return out;
    persist_changes(replica, out, now);
    // Last, since it takes longest.
    apply_committed(replica, out);
    return out;
}

std::size_t unapplied_bytes(const replica& replica)
{
    std::size_t bytes = 0;
    for (log_index i = last_index(replica.log); i > replica.applied; --i)
        bytes += size_of(entry_at(replica.log, i));
    return bytes;
}

time_point next_tick(const replica& replica)
{
    if (replica.role == role::halted)
        return time_point::max();
    if (replica.role == role::leader)
        return replica.heartbeat_at;
    if (!replica.hard.admitted)
        return std::min(
            replica.election_at,
            replica.join_query_sent_at + replica.options.timing.heartbeat);
    return replica.election_at;
}

const membership& members_of(const replica& replica)
{
    return replica.memberships.back().second;
}

bool members_committed(const replica& replica)
{
    return replica.memberships.back().first <= replica.commit;
}

} // namespace bergamotusher::consensus
