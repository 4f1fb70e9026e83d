// Reads the fields of one JSON object, keeping the first problem found.
#pragma once

#include <bergamotusher/error_kind.hpp>

#include <nlohmann/json.hpp>

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace bergamotusher::state
{

/// An object whose fields are taken one by one.
struct json_fields
{
    nlohmann::json object;
    /// Stands before the field's name in failures.
    std::string prefix;
    std::set<std::string> taken;
    std::optional<failure> problem;
};

/// Reads `text`, which must be a JSON object.
json_fields parse_fields(std::string_view text);

/// Keeps a problem with `field` unless there was one before.
void reject(json_fields& from, const std::string& field, std::string reason);

/// The value of `field`, or null if it is absent; notes that it was asked.
const nlohmann::json* take(json_fields& from, const std::string& field);

/// Each reads `field` into `to`; an absent field leaves it as it is.
void read(json_fields& from, const std::string& field, double& to);
void read(json_fields& from, const std::string& field, bool& to);
void read(json_fields& from, const std::string& field, std::uint32_t& to);
void read(json_fields& from, const std::string& field, std::int64_t& to);
void read(json_fields& from, const std::string& field, std::string& to);

/// A problem if `field` is absent.
void require(json_fields& from, const std::string& field);

/// A problem if there is a field that nobody took.
void finish(json_fields& from);

} // namespace bergamotusher::state
