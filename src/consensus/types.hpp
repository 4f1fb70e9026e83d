// The values that replicas exchange and store: log entries, memberships,
// snapshots, and the messages between replicas.
#pragma once

#include <bergamotusher/enum_names.hpp>
#include <bergamotusher/ids.hpp>
#include <bergamotusher/time.hpp>

#include <array>
#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace bergamotusher::consensus
{

/// Number of an election term; never decreases at a replica.
using term_number = std::uint64_t;
/// Position in the log. The first entry has index 1; 0 means "before the log".
using log_index = std::uint64_t;

/// The members that replicate the log. Voters elect leaders and form commit
/// quorums; learners only receive the log.
struct membership
{
    std::vector<node_id> voters;
    std::vector<node_id> learners;
    /// Where every member votes: the number of voters that the leader maintains
    /// while no member joins or leaves. 0 stands for the number of `voters`.
    std::uint32_t seats = 0;

    bool operator==(const membership&) const = default;
};

/// The kind of content of an entry.
enum class entry_kind
{
    /// A command to the state machine, as opaque bytes.
    command,
    /// Appended by a new leader: committing it commits all earlier entries.
    no_op,
    /// A new membership; in force at a replica as soon as it is in its log.
    members
};

/// One entry of the log.
struct entry
{
    term_number term = 0;
    log_index index = 0;
    entry_kind kind = entry_kind::command;
    /// The command; empty for other kinds.
    std::string command;
    /// The new membership; empty for other kinds.
    membership members;

    bool operator==(const entry&) const = default;
};

/// State that must be synced before a replica answers in a term.
struct hard_state
{
    term_number term = 0;
    /// The candidate that this replica voted for in `term`; empty if none.
    node_id vote;
    /// False for a replica whose data folder is new. Votes and entries that it
    /// acknowledged earlier may be lost, so it neither votes nor counts for
    /// quorums until it is admitted.
    bool admitted = false;

    bool operator==(const hard_state&) const = default;
};

/// The state after the entry at `index`, which replaces the log up to there.
struct snapshot
{
    log_index index = 0;
    term_number term = 0;
    membership members;
    /// The state, as the state machine encodes it; null means empty.
    std::shared_ptr<const std::string> data;
};

/// State that a replica recovers from its data folder at start. `base` is the
/// stored snapshot; `entries` follow it.
struct recovered_state
{
    hard_state hard;
    snapshot base;
    std::vector<entry> entries;
};

/// Asks for a vote in `term`. With `pre` (pre-vote), asks only whether the vote
/// would be granted; neither side changes its term.
struct vote_request
{
    bool pre = false;
    term_number term = 0;
    log_index last_index = 0;
    term_number last_term = 0;
    /// The candidate campaigns on request of the previous leader, which has
    /// given up its lease.
    bool transfer = false;
};

/// Leadership transfer: the leader of `term` has stepped down, and the receiver
/// starts an election at once.
struct campaign_now
{
    term_number term = 0;
};

/// Answers a vote request. `term` is the request's if granted, else the
/// voter's.
struct vote_reply
{
    bool pre = false;
    term_number term = 0;
    bool granted = false;
};

/// A voter that has not answered the leader for `silent_for`.
struct silent_voter
{
    node_id id;
    duration silent_for{};
};

/// Entries that follow the one at `previous_index`; none in a heartbeat.
struct append_request
{
    term_number term = 0;
    log_index previous_index = 0;
    term_number previous_term = 0;
    log_index commit = 0;
    /// Send time by the leader's clock, in microseconds; echoed in the reply.
    std::int64_t sent_at_us = 0;
    /// Admits the receiver if its data folder has this storage id; 0 admits
    /// none.
    std::uint64_t admit = 0;
    std::vector<entry> entries;
    /// Tells a later leader since when voters have been silent, so that its
    /// election does not delay their replacement.
    std::vector<silent_voter> silent;
};

/// Answers an append request; sent once the entries are synced.
struct append_reply
{
    term_number term = 0;
    bool accepted = false;
    /// If accepted, the last index known to match the leader's log; if not, the
    /// last index that can still match.
    log_index match = 0;
    std::int64_t sent_at_us = 0;
    /// The storage id of the replier if it is not admitted, else 0.
    std::uint64_t unadmitted = 0;
    /// The replier's instance is about to leave, and should be replaced.
    bool leaving = false;
};

/// A part of the snapshot at `index`, from byte `offset` on. `index_term` is
/// the term of the entry at `index`.
struct snapshot_chunk
{
    term_number term = 0;
    log_index index = 0;
    term_number index_term = 0;
    membership members;
    std::uint64_t offset = 0;
    std::string bytes;
    bool last = false;
    std::int64_t sent_at_us = 0;
};

/// Answers a snapshot chunk with the offset at which the next one is to start.
struct snapshot_reply
{
    term_number term = 0;
    log_index index = 0;
    std::uint64_t next_offset = 0;
    /// The complete snapshot is synced and restored.
    bool installed = false;
    std::int64_t sent_at_us = 0;
};

/// Sent by a replica that is not admitted or knows no leader, to join a cluster
/// or to learn whether one exists.
struct join_query
{
    std::uint64_t storage_id = 0;
};

/// Answers a join query; echoes its `storage_id`.
struct join_answer
{
    std::uint64_t storage_id = 0;
    /// The replier has no term and no log entry.
    bool empty = false;
    /// The members in the replier's log, any of which may lead; empty if the
    /// log is.
    std::vector<node_id> members;
};

/// Asks for the newest index that may be committed.
struct freshness_query
{
    std::uint64_t token = 0;
};

/// Answers a freshness query.
struct freshness_answer
{
    std::uint64_t token = 0;
    /// True if `index` is the commit index of a leader with a valid lease;
    /// false if it is the last index of a voter's log.
    bool from_leader = false;
    log_index index = 0;
};

using message = std::variant<
    vote_request,
    vote_reply,
    append_request,
    append_reply,
    snapshot_chunk,
    snapshot_reply,
    join_query,
    join_answer,
    freshness_query,
    freshness_answer,
    campaign_now>;

/// The role of a replica in its term.
enum class role
{
    follower,
    pre_candidate,
    candidate,
    leader,
    /// Its storage failed; it handles no input until it is restarted.
    halted
};

constexpr auto enum_names(role)
{
    using row = enum_name<role>;
    return std::array{
        row{role::follower, "follower"},
        row{role::pre_candidate, "pre_candidate"},
        row{role::candidate, "candidate"},
        row{role::leader, "leader"},
        row{role::halted, "halted"}};
}

} // namespace bergamotusher::consensus
