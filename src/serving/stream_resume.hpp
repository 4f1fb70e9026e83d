// The bodies of requests to engines: how they are read, made to stream, and
// changed so that another engine goes on where the last one stopped.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace bergamotusher::serving
{

/// Bytes of a body that make one prompt token, roughly.
inline constexpr std::uint32_t bytes_per_token = 4;

/// What the life cycle needs to know of an engine's body.
struct engine_body
{
    /// The body with its fields in one order and `stream` switched on; the
    /// same for all spellings of one request.
    std::string streaming;
    /// The messages alone: what an engine's prefix cache goes by.
    std::string prompt;
    /// Limit on answered tokens; 0 if the caller set none.
    std::uint32_t max_tokens = 0;
    /// An estimate.
    std::uint32_t prompt_tokens = 0;
};

/// Reads the JSON body of a request in the OpenAI shape; nothing if it is not
/// an object with an array of messages.
std::optional<engine_body> parse_engine_body(std::string_view body);

/// The body that makes an engine go on after `text`, of which `tokens` tokens
/// were counted. `streaming` comes from `parse_engine_body`.
std::string resumed_body(
    std::string_view streaming, std::string_view text, std::uint64_t tokens);

} // namespace bergamotusher::serving
