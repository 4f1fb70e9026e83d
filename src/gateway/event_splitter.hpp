// Cuts a server-sent event stream into whole events, so that no part of one is
// passed on before the rest has come.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace bergamotusher::gateway
{

struct event_splitter
{
    /// Bytes of an event that is not whole yet.
    std::string partial;
    /// Id of the newest whole event that had one.
    std::optional<std::uint64_t> last_id;
    std::uint64_t events = 0;
};

/// Takes more bytes of the stream; returns the bytes of the events that are
/// whole now.
std::string take_bytes(event_splitter& splitter, std::string_view bytes);

} // namespace bergamotusher::gateway
