// `GET /v1/timeline?since=&request=&move=&upstream=&limit=` for both ends:
// the query of the URL and the JSON of the answer.
#pragma once

#include "observe/timeline.hpp"

#include <bergamotusher/error_kind.hpp>

#include <nlohmann/json.hpp>

#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace bergamotusher::observe
{

/// Most events in one answer.
inline constexpr std::size_t timeline_limit = 10'000;

/// Reads what stands after `?`; empty asks for the newest events. An unknown
/// name or a value that cannot be read is a `malformed_request`.
std::variant<timeline_query, failure>
parse_timeline_query(std::string_view text);

/// Writes what `parse_timeline_query` reads, without `?`.
std::string format_timeline_query(const timeline_query& query);

/// `{"events": [...]}`.
nlohmann::json encode_timeline(const std::vector<event>& events);

/// Reads what `encode_timeline` wrote. Events of a kind that this program
/// does not know, such as a newer daemon's, are left out.
std::variant<std::vector<event>, failure>
parse_timeline(const nlohmann::json& text);

/// `text` as a value within a query or a segment of a path.
std::string percent_encoded(std::string_view text);

/// Undoes `percent_encoded`; nothing for a broken escape.
std::optional<std::string> percent_decoded(std::string_view text);

} // namespace bergamotusher::observe
