#include "serving/delivered_text.hpp"

namespace bergamotusher::serving
{

void append(delivered_text& delivered, std::string_view piece)
{
    delivered.text += piece;
    delivered.ends.push_back(static_cast<std::uint32_t>(delivered.text.size()));
}

std::string_view piece_at(const delivered_text& delivered, std::uint64_t index)
{
    const std::uint32_t begin = index == 0 ? 0 : delivered.ends[index - 1];
    return std::string_view(delivered.text)
        .substr(begin, delivered.ends[index] - begin);
}

std::vector<std::string> pieces_of(const delivered_text& delivered)
{
    std::vector<std::string> pieces;
    pieces.reserve(delivered.count());
    for (std::uint64_t i = 0; i < delivered.count(); ++i)
        pieces.emplace_back(piece_at(delivered, i));
    return pieces;
}

std::size_t size_in_memory(const delivered_text& delivered)
{
    return delivered.text.capacity() +
           delivered.ends.capacity() * sizeof(std::uint32_t);
}

} // namespace bergamotusher::serving
