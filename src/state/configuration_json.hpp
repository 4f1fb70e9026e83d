// Configuration entries as JSON, both ways. Parsing checks each field, and
// its failures name field and reason.
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

/// Reads a class of work. Times are in ms: `first_token_ms`, `token_gap_ms`,
/// `deadline_ms`; further `cost_per_1k_tokens` and `priority`.
std::variant<work_class, failure>
parse_class(const std::string& name, std::string_view text);

/// Reads a service: `kind`, `default_class` (required), `repeatable`,
/// `routes` of `path_prefix` and `repeatable`, `deduplicates`,
/// `retry_percent`, `trial_share`.
std::variant<service, failure>
parse_service(const std::string& name, std::string_view text);

/// Reads a client account: `key_digest` (required), `requests_per_second`,
/// `tokens_per_second`, `connections`, `weight`.
std::variant<account, failure>
parse_account(const std::string& name, std::string_view text);

/// Reads a move's start: `service`, `version`, optionally `from`, and one of
/// `within_s` and `deadline_ms` (Unix time).
std::variant<start_move, failure> parse_move(std::string_view text);

nlohmann::json to_json(const work_class& value);
nlohmann::json to_json(const service& value);
nlohmann::json to_json(const account& value);
/// What an operator sees of a move.
nlohmann::json to_json(const version_move& value);

} // namespace bergamotusher::state
