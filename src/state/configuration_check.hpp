// Validation of configuration entries: of an entry on its own, and against
// the entries of an existing configuration.
#pragma once

#include "state/commands.hpp"

#include <bergamotusher/configuration.hpp>
#include <bergamotusher/error_kind.hpp>

#include <optional>
#include <string_view>

namespace bergamotusher::state
{

/// Maximum length of an entry's name, in bytes.
inline constexpr std::size_t max_name_length = 128;
/// Maximum number of routes of one service.
inline constexpr std::size_t max_routes = 64;

/// Whether `name` is a valid name of an entry: 1 to 128 letters, digits, '.',
/// '_' or '-'.
bool is_name(std::string_view name);

/// Validates `entry` on its own. The detail of a failure names the field and
/// the reason.
std::optional<failure> check(const configuration_entry& entry);

/// Validates `entry` against `others`: a service needs an existing class, and
/// an account needs a key that no other account has.
std::optional<failure>
check_against(const configuration& others, const configuration_entry& entry);

} // namespace bergamotusher::state
