// What is done with a request whose send did not lead to a whole answer.
#pragma once

#include "site/site.hpp"

#include <bergamotusher/enum_names.hpp>
#include <bergamotusher/time.hpp>

#include <array>
#include <cstdint>

namespace bergamotusher::gateway
{

/// How a send ended.
enum class send_outcome
{
    /// No byte of the request left.
    not_sent,
    /// The upstream states that it did not run the request.
    refused,
    /// It may have run.
    may_have_run
};

constexpr auto enum_names(send_outcome)
{
    using row = enum_name<send_outcome>;
    return std::array{
        row{send_outcome::not_sent, "not_sent"},
        row{send_outcome::refused, "refused"},
        row{send_outcome::may_have_run, "may_have_run"}};
}

enum class next_step
{
    /// Send the whole request to another upstream.
    send_again,
    /// Send it to another upstream that goes on after the last event.
    resume,
    /// Tell the caller that it has not run and may come back.
    refuse,
    /// Tell the caller that it failed, or cut the answer that has begun.
    fail
};

constexpr auto enum_names(next_step)
{
    using row = enum_name<next_step>;
    return std::array{
        row{next_step::send_again, "send_again"},
        row{next_step::resume, "resume"},
        row{next_step::refuse, "refuse"},
        row{next_step::fail, "fail"}};
}

struct broken_send
{
    site::route_kind kind = site::route_kind::once;
    bool resumable = false;
    send_outcome outcome = send_outcome::may_have_run;
    /// An earlier send of the same request may have run.
    bool ran_before = false;
    /// The caller has seen the head of the answer.
    bool head_passed = false;
    /// Events that the caller has seen.
    bool events_passed = false;
    /// Upstreams that the request reached.
    std::uint32_t attempts = 0;
    std::uint32_t attempts_max = 1;
    /// Connections that failed before anything was sent.
    std::uint32_t failed_connects = 0;
    duration time_left{};
};

/// Connections that are tried for one request beyond those that succeed.
inline constexpr std::uint32_t failed_connects_max = 3;
/// With less time left, no upstream answers in time; a calm round trip and
/// the shortest work of the deployments take about as long.
inline constexpr duration least_time_for_send = 20ms;

/// Decides. The retry allowance is still to be asked for `send_again` and
/// `resume`, unless nothing was sent.
next_step after_break(const broken_send& send);

/// What remains if no further send is allowed.
next_step give_up(const broken_send& send);

} // namespace bergamotusher::gateway
