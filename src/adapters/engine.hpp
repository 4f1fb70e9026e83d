// Formats of the model engine protocol: OpenAI's chat completions, streamed as
// server-sent events. Pure functions without I/O.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace bergamotusher::engine
{

/// One piece of generated text.
struct text_piece
{
    std::string text;
};

/// Why the engine stopped generating, and its token counts.
struct finish
{
    std::string reason;
    std::uint32_t prompt_tokens = 0;
    std::uint32_t cached_tokens = 0;
    std::uint32_t answered_tokens = 0;
};

/// The end-of-stream marker `[DONE]`.
struct done
{
};

/// The stream violates the protocol; the rest of it is ignored.
struct malformed
{
    std::string reason;
};

using stream_event = std::variant<text_piece, finish, done, malformed>;

/// State of the parser of one stream.
struct stream_parser
{
    /// Received bytes that do not form a complete event yet.
    std::string buffer;
    /// The finish event as far as it was received.
    finish last;
    /// A `malformed` event was returned; further bytes are ignored.
    bool is_malformed = false;
};

/// Appends `bytes` to the stream and returns all events that are complete.
std::vector<stream_event> feed(stream_parser& parser, std::string_view bytes);

/// Converts the body of a caller's request to that of a request to an engine:
/// always streamed, with token usage, and with `priority` (lower is served
/// first). Nothing if `body` is not a JSON object.
std::optional<std::string>
to_engine_body(const std::string& body, std::uint32_t priority);

/// Formats a piece of text as a server-sent event with an id for the caller.
std::string to_caller_event(
    const std::string& request_id,
    std::uint64_t event,
    const std::string& text);

/// Formats the last two events of a caller's stream: the chunk with the finish
/// reason and usage, and the end marker.
std::string to_caller_end(
    const std::string& request_id,
    const std::string& finish_reason,
    std::uint32_t prompt_tokens,
    std::uint32_t answered_tokens);

/// Formats a complete answer to a caller that did not ask for a stream.
std::string to_caller_answer(
    const std::string& request_id,
    const std::string& text,
    const std::string& finish_reason,
    std::uint32_t prompt_tokens,
    std::uint32_t answered_tokens);

} // namespace bergamotusher::engine
