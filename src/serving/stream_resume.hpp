// Request bodies for engines: parsing, normalization to streaming form, and the
// body that makes another engine resume an interrupted answer.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace bergamotusher::serving
{

/// Approximate bytes of a request body for each prompt token.
inline constexpr std::uint32_t bytes_per_token = 4;

/// Parsed engine request body.
struct engine_body
{
    /// The body with its fields in a fixed order and `stream` enabled; equal
    /// for all JSON spellings of one request.
    std::string streaming;
    /// JSON text of the messages alone, which determines prefix cache hits.
    std::string prompt;
    /// Limit on answer tokens; 0 if the client set none.
    std::uint32_t max_tokens = 0;
    /// Estimated from the size of `prompt`.
    std::uint32_t prompt_tokens = 0;
};

/// Parses a JSON body in the OpenAI format; `nullopt` if it is not an object
/// with an array of messages.
std::optional<engine_body> parse_engine_body(std::string_view body);

/// Returns a body that makes an engine continue after `text`, which consists of
/// `tokens` tokens. `streaming` comes from `parse_engine_body`.
std::string resumed_body(
    std::string_view streaming, std::string_view text, std::uint64_t tokens);

} // namespace bergamotusher::serving
