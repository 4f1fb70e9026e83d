// What the relay holds of one request; private to the relay's files.
#pragma once

#include "gateway/relay.hpp"

namespace bergamotusher::gateway
{

constexpr std::uint32_t per_mille = 1000;

struct relay::request
{
    std::uint64_t number = 0;
    request_message message;
    request_facts facts;
    std::weak_ptr<caller_port> caller;
    std::shared_ptr<const site::lookup> site;
    const site::route* route = nullptr;
    const site::account* account = nullptr;
    service_name service;
    std::uint32_t draw = 0;
    time_point began;
    /// The route's bound or the caller's patience, whichever ends first.
    time_point ends_at;
    std::multimap<time_point, std::uint64_t>::iterator end_entry;
    bool logs = false;
    bool is_waiting = false;
    time_point waits_since;

    // The sends.
    std::set<upstream_id> tried;
    std::uint32_t attempts = 0;
    std::uint32_t failed_connects = 0;
    bool ran_before = false;
    bool counted_usage = false;

    // The send under way.
    upstream_pool::ticket ticket;
    upstream_id upstream;
    /// The same, still known once the send has ended.
    upstream_id last_upstream;
    version_name version;
    std::uint64_t unread_tokens = 0;
    double predicted_ms = 0;
    bool has_begun = false;
    time_point sent_at;

    // The answer.
    int status = 0;
    std::string reason;
    header_fields fields;
    answer_facts answer;
    std::string body;
    event_splitter events;
    bool streams = false;
    bool head_passed = false;
    time_point first_passed_at;

    duration time_left(time_point now) const
    {
        return ends_at - now;
    }
    broken_send broken(send_outcome outcome, time_point now) const
    {
        return {
            route->kind,
            route->resumable,
            outcome,
            ran_before,
            head_passed,
            events.last_id.has_value(),
            attempts,
            route->attempts_max,
            failed_connects,
            time_left(now)};
    }
    bool is_stream() const
    {
        return route->kind == site::route_kind::stream;
    }
};

} // namespace bergamotusher::gateway
