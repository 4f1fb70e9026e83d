#include "routing/prefix.hpp"

#include <algorithm>
#include <cstring>

namespace bergamotusher::routing
{

namespace
{

/// Weight of the latest answer in `confidence`.
constexpr double confirmation_weight = 0.1;
/// Lower bound of `confidence`: at zero the engine would get no more requests
/// for the prefix, and no answer could raise it again.
constexpr double min_confidence = 0.1;
/// Weight of an entry that was last used before the latest gap.
constexpr double doubtful_weight = 0.8;

std::uint64_t mix(std::uint64_t value)
{
    value ^= value >> 33;
    value *= 0xff51afd7ed558ccdULL;
    value ^= value >> 33;
    value *= 0xc4ceb9fe1a85ec53ULL;
    return value ^ (value >> 33);
}

/// Combines the hash of the preceding text with one block.
std::uint64_t hash_block(std::uint64_t hash, std::string_view block)
{
    for (std::size_t at = 0; at < block.size(); at += sizeof(hash))
    {
        std::uint64_t word = 0;
        std::memcpy(&word, block.data() + at, sizeof(word));
        hash = mix(hash ^ word) + 0x9e3779b97f4a7c15ULL;
    }
    return hash;
}

std::size_t set_index(std::uint64_t hash)
{
    return mix(hash) % prefix_sets;
}

/// Estimated probability that the engine holds the block, 0 to 1.
double presence_weight(const prefix_view& view, std::uint64_t hash)
{
    for (const prefix_slot& slot : view.sets[set_index(hash)])
    {
        if (slot.hash != hash || slot.stamp == 0)
            continue;
        if (slot.stamp < view.dropped_below)
            return 0;
        return slot.stamp < view.doubtful_below ? doubtful_weight : 1;
    }
    return 0;
}

void insert(prefix_view& view, std::uint64_t hash)
{
    if (view.sets.empty())
        view.sets.resize(prefix_sets);
    auto& set = view.sets[set_index(hash)];
    prefix_slot* place = set.data();
    for (prefix_slot& slot : set)
    {
        if (slot.hash == hash)
        {
            place = &slot;
            break;
        }
        if (slot.stamp < place->stamp)
            place = &slot;
    }
    *place = {hash, view.stamp};
}

void erase(prefix_view& view, std::uint64_t hash)
{
    if (view.sets.empty())
        return;
    for (prefix_slot& slot : view.sets[set_index(hash)])
        if (slot.hash == hash)
            slot = {};
}

void record_gap(prefix_view& view)
{
    ++view.gaps;
    std::uint32_t& oldest =
        view.recent_gap_stamps[view.gaps % gaps_until_dropped];
    view.dropped_below = oldest;
    view.doubtful_below = ++view.stamp;
    oldest = view.stamp;
}

} // namespace

std::vector<std::uint64_t> prefix_blocks(std::string_view prompt)
{
    const std::size_t count =
        std::min(prompt.size() / prefix_block_bytes, max_prefix_blocks);
    std::vector<std::uint64_t> blocks;
    blocks.reserve(count);
    std::uint64_t hash = 0;
    for (std::size_t i = 0; i < count; ++i)
    {
        hash = hash_block(
            hash, prompt.substr(i * prefix_block_bytes, prefix_block_bytes));
        blocks.push_back(hash);
    }
    return blocks;
}

double
cached_share(const prefix_view& view, const std::vector<std::uint64_t>& blocks)
{
    if (view.sets.empty() || blocks.empty())
        return 0;
    double weight = presence_weight(view, blocks.front());
    if (weight == 0)
        return 0;
    // An engine caches a prefix from its start on, so its end can be found by
    // binary search.
    std::size_t held = 1;
    std::size_t missing = blocks.size() + 1;
    while (missing - held > 1)
    {
        const std::size_t middle = (held + missing) / 2;
        const double found = presence_weight(view, blocks[middle - 1]);
        if (found == 0)
            missing = middle;
        else
        {
            held = middle;
            weight = std::min(weight, found);
        }
    }
    const auto share =
        static_cast<double>(held) / static_cast<double>(blocks.size());
    return share * weight;
}

void add_prompt(prefix_view& view, const std::vector<std::uint64_t>& blocks)
{
    ++view.stamp;
    for (const std::uint64_t hash : blocks)
        insert(view, hash);
}

void apply_events(prefix_view& view, const cache_events& events)
{
    if (events.sequence <= view.sequence)
        return;
    if (view.sequence != 0 && events.sequence != view.sequence + 1)
        record_gap(view);
    view.sequence = events.sequence;
    if (events.cleared)
        view.sets.clear();
    for (const std::uint64_t hash : events.removed)
        erase(view, hash);
    ++view.stamp;
    for (const std::uint64_t hash : events.stored)
        insert(view, hash);
}

void update_confidence(prefix_view& view, double expected, double cached)
{
    view.reports_hits = view.reports_hits || cached > 0;
    if (!view.reports_hits || expected <= 0)
        return;
    const double ratio = std::min(1.0, cached / expected);
    view.confidence += confirmation_weight * (ratio - view.confidence);
    view.confidence = std::max(view.confidence, min_confidence);
}

} // namespace bergamotusher::routing
