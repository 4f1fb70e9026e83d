#include "gateway/prompt_cache.hpp"

namespace bergamotusher::gateway
{

std::uint64_t
kept_tokens(const prompt_cache& cache, const std::vector<prompt_part>& parts)
{
    std::uint64_t kept = 0;
    for (const prompt_part& part : parts)
    {
        if (cache.by_id.count(part.id) == 0)
            break;
        kept += part.tokens;
    }
    return kept;
}

void note_read(
    prompt_cache& cache,
    const std::vector<prompt_part>& parts,
    std::uint64_t capacity)
{
    // The last part is the newest in the end, so that it goes first of its
    // prompt when room is needed; its prefix is worth more.
    for (auto part = parts.rbegin(); part != parts.rend(); ++part)
    {
        const auto known = cache.by_id.find(part->id);
        if (known != cache.by_id.end())
        {
            cache.parts.splice(cache.parts.begin(), cache.parts, known->second);
            continue;
        }
        cache.parts.push_front({part->id, part->tokens});
        cache.by_id[part->id] = cache.parts.begin();
        cache.tokens += part->tokens;
    }
    while (cache.tokens > capacity && cache.parts.size() > 1)
    {
        cache.tokens -= cache.parts.back().tokens;
        cache.by_id.erase(cache.parts.back().id);
        cache.parts.pop_back();
    }
}

} // namespace bergamotusher::gateway
