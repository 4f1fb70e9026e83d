#include "consensus/encoding.hpp"

#include "wire/consensus.pb.h"

namespace bergamotusher::consensus
{

namespace
{

namespace pb = wire::replica;

void write(pb::members& to, const membership& from)
{
    for (const node_id& id : from.voters)
        to.add_voters(id.value);
    for (const node_id& id : from.learners)
        to.add_learners(id.value);
    to.set_seats(from.seats);
}

membership read(const pb::members& from)
{
    membership to;
    for (const std::string& id : from.voters())
        to.voters.push_back({id});
    for (const std::string& id : from.learners())
        to.learners.push_back({id});
    to.seats = from.seats();
    return to;
}

void write(pb::log_entry& to, const entry& from)
{
    to.set_term(from.term);
    to.set_index(from.index);
    if (from.kind == entry_kind::command)
        to.set_command(from.command);
    else if (from.kind == entry_kind::members)
        write(*to.mutable_membership(), from.members);
    else
        to.set_no_op(true);
}

entry read(const pb::log_entry& from)
{
    entry to;
    to.term = from.term();
    to.index = from.index();
    to.command = from.command();
    if (from.has_membership())
    {
        to.kind = entry_kind::members;
        to.members = read(from.membership());
    }
    else if (from.no_op())
        to.kind = entry_kind::no_op;
    return to;
}

void write(pb::hard_state& to, const hard_state& from)
{
    to.set_term(from.term);
    to.set_vote(from.vote.value);
    to.set_admitted(from.admitted);
}

hard_state read(const pb::hard_state& from)
{
    return {from.term(), {from.vote()}, from.admitted()};
}

void write(pb::consensus_message& to, const vote_request& from)
{
    auto& m = *to.mutable_vote_request();
    m.set_pre(from.pre);
    m.set_term(from.term);
    m.set_last_index(from.last_index);
    m.set_last_term(from.last_term);
    m.set_transfer(from.transfer);
}

message read(const pb::vote_request& m)
{
    return vote_request{
        m.pre(), m.term(), m.last_index(), m.last_term(), m.transfer()};
}

void write(pb::consensus_message& to, const vote_reply& from)
{
    auto& m = *to.mutable_vote_reply();
    m.set_pre(from.pre);
    m.set_term(from.term);
    m.set_granted(from.granted);
}

message read(const pb::vote_reply& m)
{
    return vote_reply{m.pre(), m.term(), m.granted()};
}

void write(pb::consensus_message& to, const append_request& from)
{
    auto& m = *to.mutable_append_request();
    m.set_term(from.term);
    m.set_previous_index(from.previous_index);
    m.set_previous_term(from.previous_term);
    m.set_commit(from.commit);
    m.set_sent_at_us(from.sent_at_us);
    m.set_admit(from.admit);
    for (const entry& entry : from.entries)
        write(*m.add_entries(), entry);
    for (const silent_voter& voter : from.silent)
    {
        pb::silent_voter& silent = *m.add_silent();
        silent.set_id(voter.id.value);
        silent.set_silent_for_us(
            static_cast<std::uint64_t>(voter.silent_for.count()));
    }
}

message read(const pb::append_request& m)
{
    append_request to{
        m.term(),
        m.previous_index(),
        m.previous_term(),
        m.commit(),
        m.sent_at_us(),
        m.admit(),
        {},
        {}};
    for (const pb::log_entry& entry : m.entries())
        to.entries.push_back(read(entry));
    for (const pb::silent_voter& voter : m.silent())
        to.silent.push_back(
            {{voter.id()},
             duration(static_cast<std::int64_t>(voter.silent_for_us()))});
    return to;
}

void write(pb::consensus_message& to, const append_reply& from)
{
    auto& m = *to.mutable_append_reply();
    m.set_term(from.term);
    m.set_accepted(from.accepted);
    m.set_match(from.match);
    m.set_sent_at_us(from.sent_at_us);
    m.set_unadmitted(from.unadmitted);
    m.set_leaving(from.leaving);
}

message read(const pb::append_reply& m)
{
    return append_reply{
        m.term(),
        m.accepted(),
        m.match(),
        m.sent_at_us(),
        m.unadmitted(),
        m.leaving()};
}

void write(pb::consensus_message& to, const snapshot_chunk& from)
{
    auto& m = *to.mutable_snapshot_chunk();
    m.set_term(from.term);
    m.set_index(from.index);
    m.set_index_term(from.index_term);
    write(*m.mutable_membership(), from.members);
    m.set_offset(from.offset);
    m.set_data(from.bytes);
    m.set_last(from.last);
    m.set_sent_at_us(from.sent_at_us);
}

message read(const pb::snapshot_chunk& m)
{
    return snapshot_chunk{
        m.term(),
        m.index(),
        m.index_term(),
        read(m.membership()),
        m.offset(),
        m.data(),
        m.last(),
        m.sent_at_us()};
}

void write(pb::consensus_message& to, const snapshot_reply& from)
{
    auto& m = *to.mutable_snapshot_reply();
    m.set_term(from.term);
    m.set_index(from.index);
    m.set_next_offset(from.next_offset);
    m.set_installed(from.installed);
    m.set_sent_at_us(from.sent_at_us);
}

message read(const pb::snapshot_reply& m)
{
    return snapshot_reply{
        m.term(), m.index(), m.next_offset(), m.installed(), m.sent_at_us()};
}

void write(pb::consensus_message& to, const join_query& from)
{
    to.mutable_join_query()->set_storage_id(from.storage_id);
}

void write(pb::consensus_message& to, const join_answer& from)
{
    auto& m = *to.mutable_join_answer();
    m.set_storage_id(from.storage_id);
    m.set_empty(from.empty);
    for (const node_id& id : from.members)
        m.add_members(id.value);
}

message read(const pb::join_answer& m)
{
    join_answer to{m.storage_id(), m.empty(), {}};
    for (const std::string& id : m.members())
        to.members.push_back({id});
    return to;
}

void write(pb::consensus_message& to, const campaign_now& from)
{
    to.mutable_campaign_now()->set_term(from.term);
}

void write(pb::consensus_message& to, const freshness_query& from)
{
    to.mutable_freshness_query()->set_token(from.token);
}

void write(pb::consensus_message& to, const freshness_answer& from)
{
    auto& m = *to.mutable_freshness_answer();
    m.set_token(from.token);
    m.set_from_leader(from.from_leader);
    m.set_index(from.index);
}

} // namespace

std::string encode(const message& content)
{
    pb::consensus_message to;
    std::visit([&](const auto& from) { write(to, from); }, content);
    return to.SerializeAsString();
}

std::optional<message> decode_message(const std::string& bytes)
{
    pb::consensus_message m;
    if (!m.ParseFromString(bytes))
        return std::nullopt;
    using kind = pb::consensus_message;
    switch (m.content_case())
    {
    case kind::kVoteRequest:
        return read(m.vote_request());
    case kind::kVoteReply:
        return read(m.vote_reply());
    case kind::kAppendRequest:
        return read(m.append_request());
    case kind::kAppendReply:
        return read(m.append_reply());
    case kind::kSnapshotChunk:
        return read(m.snapshot_chunk());
    case kind::kSnapshotReply:
        return read(m.snapshot_reply());
    case kind::kJoinQuery:
        return join_query{m.join_query().storage_id()};
    case kind::kJoinAnswer:
        return read(m.join_answer());
    case kind::kFreshnessQuery:
        return freshness_query{m.freshness_query().token()};
    case kind::kFreshnessAnswer:
        return freshness_answer{
            m.freshness_answer().token(),
            m.freshness_answer().from_leader(),
            m.freshness_answer().index()};
    case kind::kCampaignNow:
        return campaign_now{m.campaign_now().term()};
    default:
        return std::nullopt;
    }
}

std::string encode(const stored_record& record)
{
    pb::log_record to;
    write(*to.mutable_hard(), record.hard);
    for (const entry& entry : record.entries)
        write(*to.add_entries(), entry);
    return to.SerializeAsString();
}

std::optional<stored_record> decode_record(const std::string& bytes)
{
    pb::log_record from;
    if (!from.ParseFromString(bytes))
        return std::nullopt;
    stored_record record{read(from.hard()), {}};
    for (const pb::log_entry& entry : from.entries())
        record.entries.push_back(read(entry));
    return record;
}

std::string encode(const snapshot& value)
{
    pb::stored_snapshot to;
    to.set_index(value.index);
    to.set_term(value.term);
    write(*to.mutable_membership(), value.members);
    if (value.data)
        to.set_data(*value.data);
    return to.SerializeAsString();
}

std::optional<snapshot> decode_snapshot(const std::string& bytes)
{
    pb::stored_snapshot from;
    if (!from.ParseFromString(bytes))
        return std::nullopt;
    return snapshot{
        from.index(),
        from.term(),
        read(from.membership()),
        std::make_shared<const std::string>(from.data())};
}

} // namespace bergamotusher::consensus
