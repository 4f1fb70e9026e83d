// The bound on what is read of an HTTP message before it is parsed.
#pragma once

#include <cstddef>

namespace bergamotusher
{

/// Bytes that may be read and not parsed yet. The parser waits for the end of a
/// line, of a chunk's header or of the trailers without a limit of its own.
inline constexpr std::size_t max_unparsed_bytes = std::size_t{64} << 10;

} // namespace bergamotusher
