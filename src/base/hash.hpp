// Hash functions that give the same values on every instance and in every
// process.
#pragma once

#include <cstdint>
#include <string_view>

namespace bergamotusher
{

/// Hash of two numbers; each bit of the result depends on all bits of both.
std::uint64_t mixed_hash(std::uint64_t a, std::uint64_t b);

std::uint64_t hash_of(std::string_view text);

} // namespace bergamotusher
