// The newest events of one process, in a bounded ring, and queries over them.
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
    /// Events that newer ones have pushed out of the ring.
    std::uint64_t overwritten = 0;
};

/// Which events are wanted. Empty fields match every event.
struct timeline_query
{
    /// Only events later than this.
    std::optional<hybrid_time> since;
    request_id request;
    move_id move;
    upstream_id target;
    /// With `since`, the oldest `limit` matches are given, so that a reader
    /// can go on from the last of them; without it, the newest.
    std::size_t limit = 1'000;
};

/// Adds `value`; the oldest event makes room if the ring is full.
void append(timeline& store, event value);

/// Whether `value` is one that `query` asks for.
bool matches(const event& value, const timeline_query& query);

/// Whether `left` stands before `right` in a time line of several processes.
bool sorts_before(const event& left, const event& right);

/// The events that `query` asks for, sorted by time, then by node.
std::vector<event> select(const timeline& store, const timeline_query& query);

} // namespace bergamotusher::observe
