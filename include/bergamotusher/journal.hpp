// Replicated journal of requests that must run at most once.
//
// An entry sends such a request to an upstream only after `begin` returned
// `begun`. A record that was begun and neither finished nor released reads as
// `in_flight` while its owner is alive, then as `unknown`; it never permits a
// second run.
#pragma once

#include <bergamotusher/enum_names.hpp>
#include <bergamotusher/ids.hpp>
#include <bergamotusher/time.hpp>

#include <array>
#include <cstdint>
#include <string>

namespace bergamotusher
{

/// Key of a record: a caller's idempotency key within its account.
struct journal_key
{
    account_id account;
    std::string key;

    auto operator<=>(const journal_key&) const = default;
};

/// Stored answer of a finished request; the size of the body is limited.
struct stored_answer
{
    int status = 0;
    std::string content_type;
    std::string body;
    /// True if the body exceeded the limit and was not stored.
    bool truncated = false;

    bool operator==(const stored_answer&) const = default;
};

/// State of a journalled request.
enum class journal_state
{
    in_flight,
    finished,
    /// It is not known whether the request ran.
    unknown
};

/// One record of the journal.
struct journal_record
{
    journal_key key;
    /// Hex SHA-256 over method, path and body.
    std::string fingerprint;
    journal_state state = journal_state::in_flight;
    /// The entry that dispatched the request; only this entry may release the
    /// record.
    node_id owner;
    /// Incarnation of the owner's process; distinguishes a restarted owner.
    std::uint64_t owner_incarnation = 0;
    attempt_id attempt;
    upstream_id target;
    wall_time begun;
    stored_answer answer;

    bool operator==(const journal_record&) const = default;
};

/// Outcome of `begin`.
enum class begin_outcome
{
    /// The record is committed; the caller of `begin` may dispatch the request
    /// once.
    begun,
    /// Another dispatch holds the key; wait for it, or report it to the caller.
    in_flight,
    /// The request has finished; reply with the stored answer.
    finished,
    /// The request may have run before and must not run again.
    unknown,
    /// The key was used with a different fingerprint.
    conflict
};

/// Result of `begin`; `record` is the record in the journal.
struct begin_result
{
    begin_outcome outcome = begin_outcome::unknown;
    journal_record record;
};

constexpr auto enum_names(journal_state)
{
    return std::array{
        enum_name<journal_state>{journal_state::in_flight, "in_flight"},
        enum_name<journal_state>{journal_state::finished, "finished"},
        enum_name<journal_state>{journal_state::unknown, "unknown"}};
}

constexpr auto enum_names(begin_outcome)
{
    return std::array{
        enum_name<begin_outcome>{begin_outcome::begun, "begun"},
        enum_name<begin_outcome>{begin_outcome::in_flight, "in_flight"},
        enum_name<begin_outcome>{begin_outcome::finished, "finished"},
        enum_name<begin_outcome>{begin_outcome::unknown, "unknown"},
        enum_name<begin_outcome>{begin_outcome::conflict, "conflict"}};
}

} // namespace bergamotusher
