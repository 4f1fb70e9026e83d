// Events as JSON, both ways: one object an event, absent fields left out.
#pragma once

#include <bergamotusher/error_kind.hpp>
#include <bergamotusher/event.hpp>

#include <nlohmann/json.hpp>

#include <variant>

namespace bergamotusher::observe
{

/// `{"wall", "logical", "kind", "node", ...}`; empty fields are left out.
nlohmann::json encode_event(const event& value);

/// Reads what `encode_event` wrote; `malformed_message` otherwise. Fields
/// that it does not know are ignored.
std::variant<event, failure> parse_event(const nlohmann::json& text);

} // namespace bergamotusher::observe
