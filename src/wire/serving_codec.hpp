// Encodes and decodes the messages between entries about their requests.
#pragma once

#include <bergamotusher/error_kind.hpp>
#include <bergamotusher/serving.hpp>

#include <string>
#include <string_view>
#include <variant>

namespace bergamotusher::wire
{

/// Encodes a `hand_over_request`; the sender is named by the envelope.
std::string encode(const request_handed_over& state);

/// Decodes a `hand_over_request`; `from` is the envelope's sender. Errors:
/// `malformed_message`.
std::variant<request_handed_over, failure>
decode_handed_over(std::string_view bytes, const node_id& from);

/// Encodes a `hand_over_answer`.
std::string encode(const bergamotusher::hand_over_reply& reply);

/// Decodes a `hand_over_answer`. Errors: `malformed_message`.
std::variant<hand_over_answered, failure>
decode_hand_over_answered(std::string_view bytes);

/// Encodes a `crash_notice`.
std::string encode(const report_crash& report);

/// Decodes a `crash_notice`. Errors: `malformed_message`.
std::variant<crash_reported, failure>
decode_crash_reported(std::string_view bytes, const node_id& from);

/// Encodes a `crash_acknowledgement`.
std::string encode(const acknowledge_crash& reply);

/// Decodes a `crash_acknowledgement`. Errors: `malformed_message`.
std::variant<bergamotusher::crash_acknowledged, failure>
decode_crash_acknowledged(std::string_view bytes, const node_id& from);

} // namespace bergamotusher::wire
