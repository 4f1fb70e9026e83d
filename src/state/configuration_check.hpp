// Checks of configuration entries: what any entry must satisfy, and what it
// must satisfy beside the entries already there.
#pragma once

#include "state/commands.hpp"

#include <bergamotusher/configuration.hpp>
#include <bergamotusher/error_kind.hpp>

#include <optional>
#include <string_view>

namespace bergamotusher::state
{

/// The longest name of an entry, in bytes.
inline constexpr std::size_t name_limit = 128;
/// The most routes of one service.
inline constexpr std::size_t route_limit = 64;

/// Whether `name` may name an entry: letters, digits, '.', '_' and '-'.
bool is_name(std::string_view name);

/// What is wrong with `entry` on its own; the detail names field and reason.
std::optional<failure> check(const configuration_entry& entry);

/// What is wrong with `entry` beside `others`.
std::optional<failure>
check_among(const configuration& others, const configuration_entry& entry);

} // namespace bergamotusher::state
