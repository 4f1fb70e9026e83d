// SHA-256, for keys that are stored as digests and for fingerprints.
#pragma once

#include <string>
#include <string_view>

namespace bergamotusher
{

/// Hex SHA-256 of `text`, in lower case.
std::string sha256_hex(std::string_view text);

} // namespace bergamotusher
