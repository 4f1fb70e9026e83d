// The relay's state of one request; private to the relay's source files.
#pragma once

#include "admission/service_queue.hpp"
#include "gateway/relay.hpp"

namespace bergamotusher::gateway
{

constexpr std::uint32_t per_mille = 1000;
/// An upstream that sent this many events of a stream was not crashed by its
/// request.
constexpr std::uint64_t sound_events = 2;
/// The retry delay given to callers of an entry that drains: other entries
/// serve.
constexpr duration drain_retry_after = 50ms;

struct relay::request
{
    std::uint64_t number = 0;
    request_message message;
    request_metadata facts;
    std::weak_ptr<response_writer> caller;
    std::shared_ptr<const site::indexed_configuration> site;
    const site::route* route = nullptr;
    const site::account* account = nullptr;
    service_name service;
    std::uint32_t version_draw = 0;
    time_point began;
    /// The route's or the caller's timeout, whichever ends first.
    time_point deadline;
    std::multimap<time_point, std::uint64_t>::iterator deadline_entry;
    std::optional<time_point> waiting_for_grant_since;
    bool is_sampled = false;
    bool is_waiting = false;
    time_point waiting_since;
    /// Since when the request has waited for a part of a limit.
    std::optional<time_point> waiting_for_limit_since;

    /// Set once it is needed; see `crash_subjects_of`.
    std::vector<crash_subject> crash_subjects;

    // All attempts.
    std::set<upstream_id> tried;
    std::uint32_t attempts = 0;
    std::uint32_t failed_connects = 0;
    bool may_have_run_before = false;
    bool usage_counted = false;

    // The current attempt.
    upstream_pool::ticket ticket;
    upstream_id upstream;
    /// The same, kept after the attempt has ended.
    upstream_id last_upstream;
    version_name version;
    std::uint64_t uncached_tokens = 0;
    /// Uncached prompt tokens that this entry had queued at the upstream with
    /// this request.
    std::uint64_t queued_tokens = 0;
    double predicted_ms = 0;
    double running_ms = 0;
    /// Requests estimated at the upstream when this one was sent.
    std::uint32_t running_at_upstream = 0;
    bool first_byte_received = false;
    time_point sent_at;
    /// Events received by earlier attempts.
    std::uint64_t earlier_events = 0;

    // The answer.
    int status = 0;
    std::string reason;
    header_fields fields;
    answer_metadata answer;
    std::string body;
    event_splitter events;
    /// Bytes of `body` and `events` that are counted in the relay's sum.
    std::size_t buffered_bytes = 0;
    bool is_streaming = false;
    bool head_forwarded = false;
    /// Of the head that was forwarded.
    std::string content_type;
    time_point first_forwarded_at;
    time_point last_event_at;
    /// Longest pause between two events of a stream.
    duration longest_gap{};

    duration time_left(time_point now) const
    {
        return deadline - now;
    }
    failed_attempt
    as_failed_attempt(attempt_outcome outcome, time_point now) const
    {
        return {
            route->kind,
            route->resumable,
            outcome,
            may_have_run_before,
            head_forwarded,
            events.last_id.has_value() && !events.ends_without_id,
            attempts,
            route->attempts_max,
            failed_connects,
            time_left(now)};
    }
    std::uint32_t rank() const
    {
        return admission::rank_of(
            account == nullptr ? std::nullopt : account->priority,
            route->priority);
    }
    bool is_stream() const
    {
        return route->kind == site::route_kind::stream;
    }
};

} // namespace bergamotusher::gateway
