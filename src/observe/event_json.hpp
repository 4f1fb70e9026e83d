// Encodes events as JSON objects and parses them.
#pragma once

#include <bergamotusher/error_kind.hpp>
#include <bergamotusher/event.hpp>

#include <nlohmann/json.hpp>

#include <variant>

namespace bergamotusher::observe
{

/// Encodes `value` as `{"wall", "logical", "kind", "node", ...}`; empty fields
/// are omitted.
nlohmann::json encode_event(const event& value);

/// Parses the output of `encode_event`. Fails with `malformed_message`; unknown
/// fields are ignored.
std::variant<event, failure> parse_event(const nlohmann::json& text);

} // namespace bergamotusher::observe
