// The first look at a request: is it one that this entry can serve at all,
// and by which class, target and rule of repetition.
#pragma once

#include "serving/scope.hpp"

#include <memory>
#include <variant>

namespace bergamotusher::serving
{

/// A request's state, or why it is refused.
using check_result = std::variant<std::unique_ptr<request_state>, failure>;

/// Checks `request` against the configuration and makes its state. Errors:
/// `unknown_service`, `unknown_class`, `malformed_request`,
/// `missing_idempotency_key`, `quarantined`.
check_result check_request(
    const step_scope& scope, caller_request request, duration time_left);

/// Hex SHA-256 over method, service, path and body.
std::string fingerprint_of(const caller_request& request);

} // namespace bergamotusher::serving
