#include "gateway/prompt_cache.hpp"

namespace bergamotusher::gateway
{

bool is_cached(const prompt_cache& cache, std::uint64_t id, time_point now)
{
    const auto found = cache.by_id.find(id);
    return found != cache.by_id.end() &&
           now - found->second->used_at <= cache_residence_time;
}

void record_prompt(
    prompt_cache& cache,
    const std::vector<prompt_part>& parts,
    std::uint64_t capacity,
    time_point now)
{
    // The parts are inserted last to first, so that the first part becomes the
    // most recently used: a prompt's last part is evicted before its prefix,
    // which other requests share.
    for (auto part = parts.rbegin(); part != parts.rend(); ++part)
    {
        const auto known = cache.by_id.find(part->id);
        if (known != cache.by_id.end())
        {
            known->second->used_at = now;
            cache.parts.splice(cache.parts.begin(), cache.parts, known->second);
            continue;
        }
        cache.parts.push_front({part->id, part->tokens, now});
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
