// SHA-256, used for keys that are stored as digests and for fingerprints.
#pragma once

#include <string>
#include <string_view>

namespace bergamotusher
{

/// SHA-256 of `text` as lower-case hex digits.
std::string sha256_hex(std::string_view text);

} // namespace bergamotusher
