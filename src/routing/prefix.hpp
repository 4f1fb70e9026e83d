// Estimated contents of an engine's prefix cache.
//
// A prompt is cut into blocks of text, and the hash of each block covers all
// text up to its end, so equal hashes mean equal prefixes. The view of one
// engine is a bounded, set-associative table of such hashes, filled from this
// entry's dispatches and from the engine's cache events. A gap in the event
// sequence lowers the weight of older entries; `gaps_until_dropped` further
// gaps remove those that were not used again.
#pragma once

#include <bergamotusher/upstream.hpp>

#include <array>
#include <cstdint>
#include <string_view>
#include <vector>

namespace bergamotusher::routing
{

/// Prompt bytes in one block.
inline constexpr std::size_t prefix_block_bytes = 512;
/// Maximum number of blocks of one prompt that are hashed.
inline constexpr std::size_t max_prefix_blocks = 256;
/// Sets and ways of the table for one engine.
inline constexpr std::size_t prefix_sets = 512;
inline constexpr std::size_t prefix_ways = 8;

/// An entry that was not used during this many gaps is dropped.
inline constexpr std::size_t gaps_until_dropped = 16;

/// The hash of each whole block of `prompt`, in order.
std::vector<std::uint64_t> prefix_blocks(std::string_view prompt);

/// One slot of the table; empty if `stamp` is 0.
struct prefix_slot
{
    std::uint64_t hash = 0;
    std::uint32_t stamp = 0;
};

/// Estimated cache contents of one engine.
struct prefix_view
{
    /// Empty until the first block is inserted.
    std::vector<std::array<prefix_slot, prefix_ways>> sets;
    /// Sequence number of the latest cache event.
    std::uint64_t sequence = 0;
    /// Logical clock: entries used later have greater stamps.
    std::uint32_t stamp = 1;
    /// Entries with stamps below this one may have been evicted and count for
    /// less.
    std::uint32_t doubtful_below = 0;
    /// Entries with stamps below this one are ignored.
    std::uint32_t dropped_below = 0;
    /// How well the engine's answers agree with the view, 0 to 1.
    double confidence = 1;
    /// Whether the engine has ever reported cached tokens.
    bool reports_hits = false;
    /// Number of gaps seen in the event sequence.
    std::uint64_t gaps = 0;
    /// Ring buffer of the stamps at the latest gaps.
    std::array<std::uint32_t, gaps_until_dropped> recent_gap_stamps{};
};

/// Share of `blocks` that the engine is estimated to hold, 0 to 1, not yet
/// scaled by `confidence`.
double
cached_share(const prefix_view& view, const std::vector<std::uint64_t>& blocks);

/// Records that a prompt with these blocks was sent to the engine.
void add_prompt(prefix_view& view, const std::vector<std::uint64_t>& blocks);

/// Applies one message of cache events; ignores it if its sequence number is
/// not newer.
void apply_events(prefix_view& view, const cache_events& events);

/// Updates `confidence`: the engine reported `cached` cached tokens where the
/// view predicted `expected`. `confidence` is not changed for an engine that
/// never reports cached tokens.
void update_confidence(prefix_view& view, double expected, double cached);

} // namespace bergamotusher::routing
