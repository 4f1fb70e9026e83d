// Decides whether a request is retried, resumed, rejected or failed after an
// attempt that did not deliver a complete answer.
#pragma once

#include "site/site.hpp"

#include <bergamotusher/enum_names.hpp>
#include <bergamotusher/time.hpp>

#include <array>
#include <cstdint>

namespace bergamotusher::gateway
{

/// How far a failed attempt got.
enum class attempt_outcome
{
    /// No byte of the request was sent.
    not_sent,
    /// The upstream states that it did not run the request.
    refused,
    /// The upstream may have run the request.
    may_have_run
};

constexpr auto enum_names(attempt_outcome)
{
    using row = enum_name<attempt_outcome>;
    return std::array{
        row{attempt_outcome::not_sent, "not_sent"},
        row{attempt_outcome::refused, "refused"},
        row{attempt_outcome::may_have_run, "may_have_run"}};
}

enum class retry_decision
{
    /// Send the whole request to another upstream.
    retry,
    /// Send the request to another upstream, which continues the stream after
    /// the last event that was forwarded.
    resume,
    /// Tell the caller that the request did not run and may be sent again
    /// later.
    reject,
    /// Tell the caller that the request failed, or close the connection if the
    /// answer has begun.
    fail
};

constexpr auto enum_names(retry_decision)
{
    using row = enum_name<retry_decision>;
    return std::array{
        row{retry_decision::retry, "send_again"},
        row{retry_decision::resume, "resume"},
        row{retry_decision::reject, "refuse"},
        row{retry_decision::fail, "fail"}};
}

struct failed_attempt
{
    site::route_kind kind = site::route_kind::once;
    bool resumable = false;
    attempt_outcome outcome = attempt_outcome::may_have_run;
    /// An earlier attempt of the same request may have run.
    bool may_have_run_before = false;
    /// The head of the answer was forwarded to the caller.
    bool head_forwarded = false;
    /// The last event that was forwarded to the caller has an id.
    bool events_forwarded = false;
    /// Attempts that connected to an upstream, including this one.
    std::uint32_t attempts = 0;
    std::uint32_t attempts_max = 1;
    /// Connection attempts that failed before anything was sent.
    std::uint32_t failed_connects = 0;
    duration time_left{};
};

/// Maximum number of failed connection attempts after which a request may still
/// be retried; they do not count as attempts.
inline constexpr std::uint32_t failed_connects_max = 3;
/// With less time left no upstream can answer in time: a round trip without
/// load and the shortest request of the deployments take about this long.
inline constexpr duration min_time_for_attempt = 20ms;

/// Decides what follows a failed attempt. For `retry` and `resume` the retry
/// budget must still be checked, unless nothing was sent.
retry_decision decide_retry(const failed_attempt& attempt);

/// The decision if no further attempt is allowed: `fail` if the request may
/// have run or its answer has begun, otherwise `reject`.
retry_decision decide_without_retry(const failed_attempt& attempt);

} // namespace bergamotusher::gateway
