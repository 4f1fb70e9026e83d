// Reader of the fields of one JSON object. It keeps the first problem found,
// so that callers check for problems once, after all reads.
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

/// A JSON object that is being read.
struct json_fields
{
    nlohmann::json object;
    /// Put before the field's name in failure details.
    std::string prefix;
    /// Fields that were asked for; any other field is unknown.
    std::set<std::string> known;
    /// The first problem found.
    std::optional<failure> problem;
};

/// Parses `text`; a text that is no JSON object is recorded as a problem.
json_fields parse_fields(std::string_view text);

/// Records a problem with `field` unless there is one already.
void add_problem(
    json_fields& from, const std::string& field, std::string reason);

/// The value of `field`, or null if it is absent. Marks the field as known.
const nlohmann::json* find_field(json_fields& from, const std::string& field);

/// Reads `field` into `to`. An absent field leaves `to` unchanged; a value of
/// the wrong type is recorded as a problem.
void read(json_fields& from, const std::string& field, double& to);
void read(json_fields& from, const std::string& field, bool& to);
void read(json_fields& from, const std::string& field, std::uint32_t& to);
void read(json_fields& from, const std::string& field, std::int64_t& to);
void read(json_fields& from, const std::string& field, std::string& to);

/// Records a problem if `field` is absent.
void require_field(json_fields& from, const std::string& field);

/// Records a problem if the object has a field that is not known.
void reject_unknown_fields(json_fields& from);

} // namespace bergamotusher::state
