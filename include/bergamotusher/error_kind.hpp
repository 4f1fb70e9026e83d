// All error kinds, and the table of how each is reported to callers.
//
// Every failure that leaves a module is one of these kinds, carried as a
// `std::error_code`. Error answers to callers and operators are built from the
// table only.
#pragma once

#include <bergamotusher/enum_names.hpp>

#include <array>
#include <string>
#include <string_view>
#include <system_error>

namespace bergamotusher
{

/// Kind of an error. There is no enumerator 0, since `std::error_code` uses 0
/// for success.
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
    content_suspended,
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

/// What an error answer states about the execution of its request.
enum class run_claim
{
    /// The request was not run and will not be.
    not_run,
    /// It is not known whether the request was run.
    unknown
};

/// Advice to the client on retries.
enum class retry_advice
{
    /// A retry of the same request fails again.
    never,
    /// A retry may succeed later or at another entry.
    later,
    /// A retry is safe only with the same idempotency key.
    same_key
};

/// One row of the table: how an error kind is reported.
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
const error_answer& error_answer_for(error_kind kind);

/// The error category of `error_kind`.
const std::error_category& error_kind_category();

/// Makes `error_kind` implicitly convertible to `std::error_code`.
std::error_code make_error_code(error_kind kind);

/// Returns the kind of `error`; `internal` for a code of another category.
error_kind kind_of(const std::error_code& error);

/// An error with a text for people that says what was wrong.
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
