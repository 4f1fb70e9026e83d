// Text that a request has produced so far, divided into pieces.
//
// Each piece is one event of the client's stream; event n is piece n - 1. The
// whole text is kept, so that another upstream can resume the stream and a
// client can reattach at any event.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace bergamotusher::serving
{

/// Pieces of text, stored in one string.
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

void append(delivered_text& delivered, std::string_view piece);
/// Returns the piece at `index`, which must be below `count()`.
std::string_view piece_at(const delivered_text& delivered, std::uint64_t index);
/// Returns the pieces as separate strings.
std::vector<std::string> pieces_of(const delivered_text& delivered);
/// Returns the allocated bytes, for memory limits.
std::size_t size_in_memory(const delivered_text& delivered);

} // namespace bergamotusher::serving
