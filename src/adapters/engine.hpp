// The wire shapes of model engines: OpenAI's chat completions, streamed as
// server-sent events. Nothing here decides or does I/O.
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

/// Why the engine stopped generating, and what it counted.
struct finish
{
    std::string reason;
    std::uint32_t prompt_tokens = 0;
    std::uint32_t cached_tokens = 0;
    std::uint32_t answered_tokens = 0;
};

/// The end-of-stream mark.
struct done
{
};

/// The stream is not what the protocol allows; nothing after it counts.
struct malformed
{
    std::string reason;
};

using stream_event = std::variant<text_piece, finish, done, malformed>;

/// What is left of a stream after the events that were taken from it.
struct stream_parser
{
    std::string rest;
    finish last;
    bool broken = false;
};

/// Takes all whole events out of `bytes` and what came before.
std::vector<stream_event> feed(stream_parser& parser, std::string_view bytes);

/// `body` as it is sent to an engine: always streamed, with usage, and with
/// `priority` (lower goes first). Nothing if `body` is no JSON object.
std::optional<std::string>
to_engine_body(const std::string& body, std::uint32_t priority);

/// One streamed piece in the caller's shape, as an event with its id.
std::string to_caller_event(
    const std::string& request_id,
    std::uint64_t event,
    const std::string& text);

/// The last two events of a caller's stream.
std::string to_caller_end(
    const std::string& request_id,
    const std::string& finish_reason,
    std::uint32_t prompt_tokens,
    std::uint32_t answered_tokens);

/// A whole answer in the caller's shape.
std::string to_caller_answer(
    const std::string& request_id,
    const std::string& text,
    const std::string& finish_reason,
    std::uint32_t prompt_tokens,
    std::uint32_t answered_tokens);

} // namespace bergamotusher::engine
