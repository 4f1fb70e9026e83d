// Encodes and decodes deltas of the upstream directory.
#pragma once

#include "membership/directory_delta.hpp"

#include <bergamotusher/error_kind.hpp>

#include <string>
#include <string_view>
#include <variant>

namespace bergamotusher::wire
{

/// Encodes `delta` as a `directory_delta` message.
std::string encode(const membership::directory_delta& delta);

/// Decodes the result of `encode`. Errors: `malformed_message`.
std::variant<membership::directory_delta, failure>
decode_directory_delta(std::string_view bytes);

} // namespace bergamotusher::wire
