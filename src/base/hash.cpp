#include "base/hash.hpp"

namespace bergamotusher
{

// splitmix64's finalizer, applied to a combination of both numbers.
std::uint64_t mixed_hash(std::uint64_t a, std::uint64_t b)
{
    std::uint64_t z = a ^ (b + 0x9e3779b97f4a7c15U + (a << 6U) + (a >> 2U));
    z = (z ^ (z >> 30U)) * 0xbf58476d1ce4e5b9U;
    z = (z ^ (z >> 27U)) * 0x94d049bb133111ebU;
    return z ^ (z >> 31U);
}

// FNV-1a, mixed once more because its low bits vary little for short texts.
std::uint64_t hash_of(std::string_view text)
{
    constexpr std::uint64_t offset_basis = 0xcbf29ce484222325U;
    constexpr std::uint64_t prime = 0x100000001b3U;
    std::uint64_t hash = offset_basis;
    for (const char c : text)
        hash = (hash ^ static_cast<unsigned char>(c)) * prime;
    return mixed_hash(hash, prime);
}

} // namespace bergamotusher
