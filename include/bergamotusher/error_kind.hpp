// The closed list of error kinds and the one table from kind to answer.
//
// Every failure that leaves a module is one of these kinds, carried as a
// `std::error_code`. Callers and operators are answered from the table only.
#pragma once

#include <bergamotusher/enum_names.hpp>

#include <array>
#include <string>
#include <string_view>
#include <system_error>

namespace bergamotusher
{

/// What went wrong. Zero is no error, as `std::error_code` asks.
enum class error_kind
{
    malformed_request = 1,
    header_too_large,
    body_too_large,
    slow_sender,
    too_many_connections,
    unauthenticated,
    forbidden,
    unknown_resource,
    method_not_allowed,
    unknown_service,
    unknown_class,
    unknown_request,
    missing_idempotency_key,
    key_conflict,
    revision_conflict,
    invalid_configuration,
    invalid_setting,
    rate_limited,
    overloaded,
    no_upstream,
    quarantined,
    draining,
    stale_configuration,
    no_quorum,
    not_leader,
    deadline_passed,
    upstream_failed,
    upstream_refused,
    malformed_answer,
    outcome_unknown,
    fenced,
    start_refused,
    storage_full,
    storage_failed,
    storage_corrupt,
    wrong_data_folder,
    peer_unreachable,
    malformed_message,
    cancelled,
    internal
};

/// What an error answer claims about the request it answers.
enum class run_claim
{
    /// The request was not run and will not be.
    not_run,
    /// Nobody can tell whether the request was run.
    unknown
};

/// What a client does best after an error.
enum class retry_advice
{
    /// The same request fails again.
    never,
    /// The same request can succeed later, or at another entry.
    later,
    /// Only with the same idempotency key, which makes it safe.
    same_key
};

/// One row of the table: how an error kind is answered.
struct error_answer
{
    error_kind kind;
    std::string_view name;
    int http_status;
    run_claim run;
    retry_advice retry;
    std::string_view title;
};

/// The row for `kind`.
const error_answer& answer_of(error_kind kind);

/// The category of error codes made of `error_kind`.
const std::error_category& error_kind_category();

/// Converts implicitly through `std::error_code`'s constructor.
std::error_code make_error_code(error_kind kind);

/// The kind in `error`; `internal` for a code of another category.
error_kind kind_of(const std::error_code& error);

/// An error with the words that tell a person what exactly was wrong.
struct failure
{
    error_kind kind = error_kind::internal;
    std::string detail;
};

constexpr auto enum_names(run_claim)
{
    return std::array{
        enum_name<run_claim>{run_claim::not_run, "not_run"},
        enum_name<run_claim>{run_claim::unknown, "unknown"}};
}

} // namespace bergamotusher

template<>
struct std::is_error_code_enum<bergamotusher::error_kind> : std::true_type
{
};
