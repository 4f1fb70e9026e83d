// What an entry believes that an upstream keeps of earlier prompts: the parts
// that it sent there, least recently used first out.
#pragma once

#include "gateway/dialect.hpp"

#include <bergamotusher/time.hpp>

#include <cstdint>
#include <list>
#include <unordered_map>
#include <vector>

namespace bergamotusher::gateway
{

struct prompt_cache
{
    struct kept_part
    {
        std::uint64_t id = 0;
        std::uint64_t tokens = 0;
        time_point used_at;
    };
    /// Newest first.
    std::list<kept_part> parts;
    std::unordered_map<std::uint64_t, std::list<kept_part>::iterator> by_id;
    std::uint64_t tokens = 0;
};

/// A part that was not used here for so long is taken to have made room: the
/// prompts of all entries turn an upstream's memory over in about this time.
inline constexpr duration part_residence = 20s;

/// Whether the part is believed to be kept.
bool keeps(const prompt_cache& cache, std::uint64_t id, time_point now);

/// Notes that the upstream reads `parts`; forgets the oldest beyond
/// `capacity` tokens.
void note_read(
    prompt_cache& cache,
    const std::vector<prompt_part>& parts,
    std::uint64_t capacity,
    time_point now);

} // namespace bergamotusher::gateway
