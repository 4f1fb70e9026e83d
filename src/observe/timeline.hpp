// Time line: the newest events of one process in a circular buffer, and
// queries on them.
#pragma once

#include <bergamotusher/event.hpp>
#include <bergamotusher/ids.hpp>

#include <boost/circular_buffer.hpp>

#include <cstdint>
#include <optional>
#include <vector>

namespace bergamotusher::observe
{

/// The newest events of one process.
struct timeline
{
    explicit timeline(std::size_t capacity) : events(capacity) {}

    boost::circular_buffer<event> events;
    /// Number of events that newer ones have replaced.
    std::uint64_t overwritten = 0;
};

/// Filter on events. Empty fields match every event.
struct timeline_query
{
    /// Only events later than this.
    std::optional<hybrid_time> since;
    request_id request;
    move_id move;
    upstream_id target;
    /// Maximum number of events returned: with `since` the oldest matches, so
    /// that a client can continue from the last of them; without it the
    /// newest.
    std::size_t limit = 1'000;
};

/// Adds `value`; replaces the oldest event if the buffer is full.
void append(timeline& store, event value);

bool matches(const event& value, const timeline_query& query);

/// Order of events in the merged time line of several processes: by time,
/// then by node.
bool sorts_before(const event& left, const event& right);

/// The events that match `query`, sorted by time, then by node.
std::vector<event> select(const timeline& store, const timeline_query& query);

} // namespace bergamotusher::observe
