// The operators' API as a pure function: a request is either answered from
// the state at once or becomes a command, whose outcome becomes the answer.
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
    /// Without query.
    std::string path;
    /// Empty if the header is absent.
    std::string if_match;
    /// Empty if the header is absent.
    std::string idempotency_key;
    std::string body;
};

/// What the operator is told; `body` is JSON, problem details for an error.
struct operator_answer
{
    int status = 200;
    std::string body;
    /// For the ETag header; zero is none.
    std::uint64_t revision = 0;
};

/// The answer, or the command whose outcome `answer_to` turns into it.
using operator_decision = std::variant<operator_answer, command>;

/// Decides on a request by the state of this replica.
operator_decision
decide(const operator_request& request, const replicated_state& state);

/// The answer to a command that was committed with `outcome`.
operator_answer
answer_to(const command& proposed, const command_outcome& outcome);

/// The answer for a request that failed; `revision`, if not zero, is told.
operator_answer answer_to(const failure& problem, std::uint64_t revision = 0);

} // namespace bergamotusher::state
