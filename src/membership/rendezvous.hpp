// Rendezvous hashing: every node gives the same pair the same weight, and the
// greatest weights for a key change little when members come and go.
#pragma once

#include <cstdint>
#include <string_view>

namespace bergamotusher::membership
{

/// The weight of `member` for `key`; the same on every node.
constexpr std::uint64_t
rendezvous_weight(std::string_view key, std::string_view member)
{
    std::uint64_t hash = 0xcbf29ce484222325ULL;
    const auto take = [&hash](char c)
    {
        hash ^= static_cast<unsigned char>(c);
        hash *= 0x100000001b3ULL;
    };
    for (const char c : key)
        take(c);
    take('\0');
    for (const char c : member)
        take(c);
    hash ^= hash >> 33;
    hash *= 0xff51afd7ed558ccdULL;
    hash ^= hash >> 33;
    hash *= 0xc4ceb9fe1a85ec53ULL;
    return hash ^ (hash >> 33);
}

} // namespace bergamotusher::membership
