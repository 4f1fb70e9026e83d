// Parses what upstreams send: announcements and events.
//
// Upstreams may send invalid data, so every field is validated. The `failure`
// for an invalid field names the field and the reason.
#pragma once

#include <bergamotusher/error_kind.hpp>
#include <bergamotusher/upstream.hpp>

#include <optional>
#include <string_view>
#include <variant>

namespace bergamotusher::membership
{

/// Limits of the values that an upstream may send.
inline constexpr std::uint32_t max_slots = 4'096;
inline constexpr double max_price_per_hour = 10'000;
inline constexpr std::uint32_t max_reported_requests = 1'000'000;
inline constexpr double max_tokens_per_second = 10'000'000;
inline constexpr std::size_t max_cache_blocks = 65'536;
inline constexpr std::size_t max_name_length = 128;

/// The events of one message; either part may be absent.
struct upstream_events
{
    std::optional<load_report> load;
    std::optional<cache_events> cache;
};

/// Parses the body of `POST /v1/upstreams`. Errors: `malformed_request`.
std::variant<upstream, failure> parse_announcement(std::string_view json);

/// Parses the body of `POST /v1/upstreams/{instance}/events`; `id` is the
/// instance in the path. Errors: `malformed_request`.
std::variant<upstream_events, failure>
parse_events(const upstream_id& id, std::string_view json);

/// Whether `text` is IPv4:PORT or [IPv6]:PORT with a port other than 0.
bool is_ip_and_port(std::string_view text);

} // namespace bergamotusher::membership
