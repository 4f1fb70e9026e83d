// Conversion of configuration entries from and to JSON. Parsing validates each
// field; a failure names the field and the reason.
#pragma once

#include "state/commands.hpp"

#include <bergamotusher/configuration.hpp>
#include <bergamotusher/error_kind.hpp>
#include <bergamotusher/version_move.hpp>

#include <nlohmann/json.hpp>

#include <string>
#include <string_view>
#include <variant>

namespace bergamotusher::state
{

/// Parses a class of work. Times are in ms: `first_token_ms`, `token_gap_ms`,
/// `deadline_ms`. Other fields: `cost_per_1k_tokens`, `priority`.
std::variant<work_class, failure>
parse_class(const std::string& name, std::string_view text);

/// Parses a service: `kind`, `default_class` (required), `repeatable`,
/// `routes` of `path_prefix` and `repeatable`, `deduplicates`,
/// `retry_percent`, `trial_share`.
std::variant<service, failure>
parse_service(const std::string& name, std::string_view text);

/// Parses a client account: `key_digest` (required), `requests_per_second`,
/// `tokens_per_second`, `connections`, `weight`.
std::variant<account, failure>
parse_account(const std::string& name, std::string_view text);

/// Parses the request that starts a version move: `service`, `version`,
/// optionally `from`, and exactly one of `within_s` and `deadline_ms` (Unix
/// time).
std::variant<start_move, failure> parse_move(std::string_view text);

nlohmann::json to_json(const work_class& value);
nlohmann::json to_json(const service& value);
nlohmann::json to_json(const account& value);
/// A version move as shown to operators.
nlohmann::json to_json(const version_move& value);

} // namespace bergamotusher::state
