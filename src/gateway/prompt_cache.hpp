// What an entry believes that an upstream keeps of earlier prompts: the parts
// that it sent there, least recently used first out.
#pragma once

#include "gateway/dialect.hpp"

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
    };
    /// Newest first.
    std::list<kept_part> parts;
    std::unordered_map<std::uint64_t, std::list<kept_part>::iterator> by_id;
    std::uint64_t tokens = 0;
};

/// Leading tokens of `parts` that are believed to be kept: a part counts only
/// if all before it are kept too.
std::uint64_t
kept_tokens(const prompt_cache& cache, const std::vector<prompt_part>& parts);

/// Notes that the upstream reads `parts`; forgets the oldest beyond
/// `capacity` tokens.
void note_read(
    prompt_cache& cache,
    const std::vector<prompt_part>& parts,
    std::uint64_t capacity);

} // namespace bergamotusher::gateway
