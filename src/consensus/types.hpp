// The values that replicas of the control state exchange and store: log
// entries, membership, snapshots, and the messages between replicas.
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

/// Counts elections; never decreases at a replica.
using term_number = std::uint64_t;
/// Position in the log; the first entry has 1, and 0 means "before the log".
using log_index = std::uint64_t;

/// Who replicates the log. Voters elect and commit; learners only follow.
struct membership
{
    std::vector<node_id> voters;
    std::vector<node_id> learners;

    bool operator==(const membership&) const = default;
};

/// What an entry holds.
enum class entry_kind
{
    /// Opaque bytes for the state machine.
    command,
    /// Committed by a new leader to learn what is committed.
    no_op,
    /// A new membership; in force at a replica as soon as it is appended.
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

/// What must be synced before a replica answers in a term.
struct hard_state
{
    term_number term = 0;
    /// Whom this replica voted for in `term`; empty means nobody.
    node_id vote;
    /// False for a replica whose data folder is new: what it promised before
    /// may be lost, so it neither votes nor counts until it is admitted.
    bool admitted = false;

    bool operator==(const hard_state&) const = default;
};

/// The state after the entry `index`, which replaces the log up to there.
struct snapshot
{
    log_index index = 0;
    term_number term = 0;
    membership members;
    /// The state machine's own encoding; null means empty.
    std::shared_ptr<const std::string> data;
};

/// What a replica finds in its data folder at the start.
struct recovered_state
{
    hard_state hard;
    snapshot base;
    std::vector<entry> entries;
};

/// Asks for a vote; with `pre`, whether a vote would be given.
struct vote_request
{
    bool pre = false;
    term_number term = 0;
    log_index last_index = 0;
    term_number last_term = 0;
    /// The leader of the term before gave up its lease in favour of this one.
    bool transfer = false;
};

/// The leader of `term` has stepped down: the receiver is to campaign now.
struct campaign_now
{
    term_number term = 0;
};

/// Answers a vote request; `term` is the request's if granted.
struct vote_reply
{
    bool pre = false;
    term_number term = 0;
    bool granted = false;
};

/// New entries, or none as a heartbeat.
struct append_request
{
    term_number term = 0;
    log_index previous_index = 0;
    term_number previous_term = 0;
    log_index commit = 0;
    /// The leader's clock when it sent this; comes back in the reply.
    std::int64_t sent_at_us = 0;
    /// Admits the replica whose data folder has this id; 0 admits none.
    std::uint64_t admit = 0;
    std::vector<entry> entries;
};

/// Answers an append request once everything it covers is synced.
struct append_reply
{
    term_number term = 0;
    bool accepted = false;
    /// If accepted, the last entry known to equal the leader's; if not, the
    /// last entry that can.
    log_index match = 0;
    std::int64_t sent_at_us = 0;
    /// The id of the replier's data folder if it is not admitted, else 0.
    std::uint64_t unadmitted = 0;
    /// The replier's instance is about to go: replace it.
    bool leaving = false;
};

/// A part of a snapshot.
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

/// Tells the leader from which offset on to go on.
struct snapshot_reply
{
    term_number term = 0;
    log_index index = 0;
    std::uint64_t next_offset = 0;
    /// The whole snapshot is synced and in use.
    bool installed = false;
    std::int64_t sent_at_us = 0;
};

/// A replica with a new data folder asks whether there is a cluster yet.
struct join_query
{
    std::uint64_t storage_id = 0;
};

/// Answers a join query; `storage_id` is the one of the query.
struct join_answer
{
    std::uint64_t storage_id = 0;
    /// Nothing was ever agreed on here.
    bool empty = false;
};

/// Asks for the newest index that can be committed.
struct freshness_query
{
    std::uint64_t token = 0;
};

/// Answers a freshness query.
struct freshness_answer
{
    std::uint64_t token = 0;
    /// True if `index` is the commit index of a leader with a valid lease;
    /// false if it is a voter's last index.
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

/// What a replica does in its term.
enum class role
{
    follower,
    pre_candidate,
    candidate,
    leader,
    /// Its storage failed; it takes no further part until it is restarted.
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
