// Validation of an arriving request: whether this entry can serve it, and its
// class, latency targets and retry rules.
#pragma once

#include "serving/step_scope.hpp"

#include <memory>
#include <variant>

namespace bergamotusher::serving
{

/// The state of an accepted request, or the reason for rejection.
using check_result = std::variant<std::unique_ptr<request_state>, failure>;

/// Checks `request` against the configuration and creates its state. Errors:
/// `unknown_service`, `unknown_class`, `malformed_request`,
/// `missing_idempotency_key`, `quarantined`.
check_result check_request(
    const step_scope& scope, caller_request request, duration time_left);

/// Returns the hexadecimal SHA-256 of method, service, path and body.
std::string fingerprint_of(const caller_request& request);

} // namespace bergamotusher::serving
