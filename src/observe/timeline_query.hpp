// Encoding and parsing of `GET /v1/timeline?since=&request=&move=&upstream=
// &limit=`, for server and client: the URL query and the JSON answer.
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

/// Maximum number of events in one answer.
inline constexpr std::size_t max_timeline_events = 10'000;

/// Parses the part of the URL after `?`; an empty one selects the newest
/// events. Fails with `malformed_request` on an unknown name or an invalid
/// value. Larger limits are reduced to `max_timeline_events`.
std::variant<timeline_query, failure>
parse_timeline_query(std::string_view text);

/// Formats `query` for the part of the URL after `?`.
std::string format_timeline_query(const timeline_query& query);

/// Encodes `events` as `{"events": [...]}`.
nlohmann::json encode_timeline(const std::vector<event>& events);

/// Parses the output of `encode_timeline`. Fails with `malformed_answer`.
/// Events that cannot be parsed are skipped, such as those of a kind that only
/// a newer daemon knows.
std::variant<std::vector<event>, failure>
parse_timeline(const nlohmann::json& text);

/// Percent-encodes `text` for use as a query value or path segment.
std::string percent_encoded(std::string_view text);

/// Decodes percent escapes; `std::nullopt` for an invalid escape.
std::optional<std::string> percent_decoded(std::string_view text);

} // namespace bergamotusher::observe
