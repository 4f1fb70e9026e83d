// The operators' HTTP API as pure functions. A read is answered from the
// state of this replica; a write becomes a command, and its outcome after the
// commit becomes the answer.
//
//   GET  /v1/config/{classes|services|accounts}[/{name}]
//   PUT  /v1/config/{classes|services|accounts}/{name}
//        with If-Match: REVISION and Idempotency-Key
//   GET  /v1/config/history
//   POST /v1/moves with Idempotency-Key
//   GET  /v1/moves[/{id}]
#pragma once

#include "state/commands.hpp"
#include "state/replicated_state.hpp"

#include <cstdint>
#include <string>
#include <variant>

namespace bergamotusher::state
{

/// An operator's request, already authenticated.
struct operator_request
{
    std::string method;
    /// Without the query.
    std::string path;
    /// Empty if the header is absent.
    std::string if_match;
    /// Empty if the header is absent.
    std::string idempotency_key;
    std::string body;
};

/// HTTP answer to an operator. `body` is JSON; for an error it holds problem
/// details.
struct operator_answer
{
    int status = 200;
    std::string body;
    /// Value of the ETag header; zero for no header.
    std::uint64_t revision = 0;
};

/// Either the answer, or a command to propose; `make_answer` turns its outcome
/// into the answer.
using operator_decision = std::variant<operator_answer, command>;

/// Handles a request by the state of this replica.
operator_decision
decide(const operator_request& request, const replicated_state& state);

/// The answer to a command that was committed with `outcome`, which may be an
/// error.
operator_answer
make_answer(const command& proposed, const command_outcome& outcome);

/// The answer to a request that failed. A `revision` other than zero is
/// included.
operator_answer make_answer(const failure& problem, std::uint64_t revision = 0);

} // namespace bergamotusher::state
