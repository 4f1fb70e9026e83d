// Encodes and decodes what entries tell each other of their requests.
#pragma once

#include <bergamotusher/error_kind.hpp>
#include <bergamotusher/serving.hpp>

#include <string>
#include <string_view>
#include <variant>

namespace bergamotusher::wire
{

/// The bytes of a `hand_over_request`; the sender is in the envelope.
std::string encode(const request_handed_over& state);

/// Reads what `encode` wrote; `from` is the envelope's sender. Errors:
/// `malformed_message`.
std::variant<request_handed_over, failure>
decode_handed_over(std::string_view bytes, const node_id& from);

/// The bytes of a `hand_over_answer`.
std::string encode(const bergamotusher::hand_over_reply& reply);

/// Reads what `encode` wrote. Errors: `malformed_message`.
std::variant<hand_over_answered, failure>
decode_hand_over_answered(std::string_view bytes);

/// The bytes of a `crash_notice`.
std::string encode(const report_crash& report);

/// Reads what `encode` wrote. Errors: `malformed_message`.
std::variant<crash_reported, failure>
decode_crash_reported(std::string_view bytes);

} // namespace bergamotusher::wire
