// Rendezvous hashing: every node computes the same weight for a pair of key
// and member. When a member joins or leaves, the ranking of the other members
// for a key does not change.
#pragma once

#include <cstdint>
#include <string_view>

namespace bergamotusher::membership
{

/// The weight of `member` for `key`: FNV-1a of both, then MurmurHash3's
/// finalizer. It must be the same on every node.
constexpr std::uint64_t
rendezvous_weight(std::string_view key, std::string_view member)
{
    std::uint64_t hash = 0xcbf29ce484222325ULL;
    const auto add_byte = [&hash](char c)
    {
        hash ^= static_cast<unsigned char>(c);
        hash *= 0x100000001b3ULL;
    };
    for (const char c : key)
        add_byte(c);
    add_byte('\0');
    for (const char c : member)
        add_byte(c);
    hash ^= hash >> 33;
    hash *= 0xff51afd7ed558ccdULL;
    hash ^= hash >> 33;
    hash *= 0xc4ceb9fe1a85ec53ULL;
    return hash ^ (hash >> 33);
}

} // namespace bergamotusher::membership
