// What this entry believes an engine's prefix cache to hold.
//
// A prompt is cut into blocks of text, and each block's hash covers all text
// up to its end, so equal hashes mean equal prefixes. The view of one engine
// is a bounded, set-associative table of such hashes. It is filled by own
// dispatches and by the engine's cache events; a gap in the events makes what
// was known before count less, and more gaps drop what is not used again.
#pragma once

#include <bergamotusher/upstream.hpp>

#include <array>
#include <cstdint>
#include <string_view>
#include <vector>

namespace bergamotusher::routing
{

/// Bytes of prompt text in one block.
inline constexpr std::size_t prefix_block_bytes = 512;
/// Most blocks of one prompt that are looked at.
inline constexpr std::size_t max_prefix_blocks = 256;
/// Size of the view of one engine.
inline constexpr std::size_t prefix_sets = 512;
inline constexpr std::size_t prefix_ways = 8;

/// An entry that was not used while so many gaps were seen is dropped.
inline constexpr std::size_t gaps_to_drop = 16;

/// The hash of each whole block of `prompt`, in order.
std::vector<std::uint64_t> prefix_blocks(std::string_view prompt);

/// One place of the table; `stamp` 0 is empty.
struct prefix_slot
{
    std::uint64_t hash = 0;
    std::uint32_t stamp = 0;
};

/// The view of one engine's cache.
struct prefix_view
{
    /// Empty until the first block is entered.
    std::vector<std::array<prefix_slot, prefix_ways>> sets;
    /// Sequence of the newest cache event.
    std::uint64_t sequence = 0;
    /// Grows with each use; later entries have greater stamps.
    std::uint32_t stamp = 1;
    /// Entries with stamps below this one are doubtful and count for less.
    std::uint32_t doubtful_below = 0;
    /// Entries with stamps below this one are not counted.
    std::uint32_t dropped_below = 0;
    /// How far the engine's answers confirm the view, 0 to 1.
    double confidence = 1;
    /// Whether the engine has ever answered that tokens were cached.
    bool reports_hits = false;
    /// Gaps seen in the event sequence.
    std::uint64_t gaps = 0;
    /// The stamps at the latest of them.
    std::array<std::uint32_t, gaps_to_drop> gap_stamps{};
};

/// The share of `blocks` that the engine is believed to hold, 0 to 1, before
/// `confidence` is applied.
double
cached_share(const prefix_view& view, const std::vector<std::uint64_t>& blocks);

/// The engine was given a prompt with these blocks.
void remember(prefix_view& view, const std::vector<std::uint64_t>& blocks);

/// Takes one message of cache events; late ones are ignored.
void apply(prefix_view& view, const cache_events& events);

/// The engine answered that `cached` tokens were cached where the view said
/// `expected`. An engine that has never said so is taken at the view's word.
void confirm(prefix_view& view, double expected, double cached);

} // namespace bergamotusher::routing
