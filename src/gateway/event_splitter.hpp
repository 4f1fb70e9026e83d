// Splits a stream of server-sent events into complete events, so that an event
// is forwarded only once all of it was received.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace bergamotusher::gateway
{

struct event_splitter
{
    /// Bytes of an event that is not yet complete.
    std::string partial;
    /// Bytes of `partial` in which no end of an event was found.
    std::size_t searched = 0;
    /// Id of the last complete event that had an id.
    std::optional<std::uint64_t> last_id;
    std::uint64_t events = 0;
    /// The last complete event with data has no id; a stream that goes on after
    /// `last_id` would repeat it.
    bool ends_without_id = false;
    /// An event had an id that is not above the one before it.
    bool went_back = false;
};

/// Appends bytes of the stream; returns the bytes of the events that are
/// complete now.
std::string split_events(event_splitter& splitter, std::string_view bytes);

} // namespace bergamotusher::gateway
