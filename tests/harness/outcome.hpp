// What the answer to an operation tells its client about the outcome.
#pragma once

#include "harness/caller.hpp"
#include "harness/history.hpp"

namespace bergamotusher::tests
{

/// The outcome of a put of the configuration. An answer whose end was not
/// received says nothing: `unknown`.
operation_outcome put_outcome(const client_response& answer);

/// The outcome of an order; `unknown` likewise.
operation_outcome order_outcome(const client_response& answer);

} // namespace bergamotusher::tests
