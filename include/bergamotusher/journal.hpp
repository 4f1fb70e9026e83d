// The replicated journal of requests that may not be repeated.
//
// An entry sends such a request to an upstream only after `begin` came back
// with `begun`. A record that was begun and neither finished nor released
// reads as `in_flight` until its owner is gone, then as `unknown`; it never
// permits a second run.
#pragma once

#include <bergamotusher/enum_names.hpp>
#include <bergamotusher/ids.hpp>
#include <bergamotusher/time.hpp>

#include <array>
#include <cstdint>
#include <string>

namespace bergamotusher
{

/// What a caller's idempotency key stands for.
struct journal_key
{
    account_id account;
    std::string key;

    auto operator<=>(const journal_key&) const = default;
};

/// The stored answer of a finished request; its body has a size limit.
struct stored_answer
{
    int status = 0;
    std::string content_type;
    std::string body;
    /// True if the body was larger than the limit and is not stored.
    bool truncated = false;

    bool operator==(const stored_answer&) const = default;
};

/// How far a journalled request has come.
enum class journal_state
{
    in_flight,
    finished,
    /// It may have run; nobody can tell.
    unknown
};

/// One record of the journal.
struct journal_record
{
    journal_key key;
    /// Hex SHA-256 over method, path and body.
    std::string fingerprint;
    journal_state state = journal_state::in_flight;
    /// The entry that dispatched it; only this one may release it.
    node_id owner;
    /// Start of the owner's process; tells a restarted owner apart.
    std::uint64_t owner_incarnation = 0;
    attempt_id attempt;
    upstream_id target;
    wall_time begun;
    stored_answer answer;

    bool operator==(const journal_record&) const = default;
};

/// What `begin` found.
enum class begin_outcome
{
    /// The record is committed; the caller of `begin` may dispatch, once.
    begun,
    /// Another dispatch holds the key; wait or report it.
    in_flight,
    /// The stored answer is to be given.
    finished,
    /// It may have run before; it must not run again.
    unknown,
    /// Same key, another fingerprint.
    conflict
};

/// The result of `begin`; `record` is the one that the journal holds.
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
