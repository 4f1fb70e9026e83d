// The text that a request has produced so far, piece by piece.
//
// Each piece is one event of the caller's stream; event n is piece n - 1. The
// text is kept whole, so that a stream can be resumed from it and a caller can
// take it up at any event.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace bergamotusher::serving
{

/// Pieces of text, stored without a string of its own for each.
struct delivered_text
{
    std::string text;
    /// Offset of the end of each piece in `text`.
    std::vector<std::uint32_t> ends;

    /// Number of pieces.
    std::uint64_t count() const
    {
        return ends.size();
    }
};

/// Adds one piece.
void append(delivered_text& delivered, std::string_view piece);
/// The piece at `index`, which must be below `count()`.
std::string_view piece_at(const delivered_text& delivered, std::uint64_t index);
/// All pieces as strings of their own.
std::vector<std::string> pieces_of(const delivered_text& delivered);
/// Bytes that it holds, for limits on memory.
std::size_t size_in_memory(const delivered_text& delivered);

} // namespace bergamotusher::serving
