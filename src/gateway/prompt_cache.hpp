// An entry's estimate of an upstream's prompt cache: the prompt parts that this
// entry sent there, evicted in least recently used order.
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
    struct cached_part
    {
        std::uint64_t id = 0;
        std::uint64_t tokens = 0;
        time_point used_at;
    };
    /// Most recently used first.
    std::list<cached_part> parts;
    std::unordered_map<std::uint64_t, std::list<cached_part>::iterator> by_id;
    std::uint64_t tokens = 0;
};

/// A part that this entry has not sent for this long is assumed to be evicted:
/// the prompts of all entries replace the content of an upstream's cache in
/// about this time.
inline constexpr duration cache_residence_time = 20s;

/// Whether the upstream is assumed to have the part in its cache.
bool is_cached(const prompt_cache& cache, std::uint64_t id, time_point now);

/// Records that the upstream processes `parts`; evicts the least recently used
/// parts beyond `capacity` tokens.
void record_prompt(
    prompt_cache& cache,
    const std::vector<prompt_part>& parts,
    std::uint64_t capacity,
    time_point now);

} // namespace bergamotusher::gateway
