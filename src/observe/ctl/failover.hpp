// Sends a request to one of several addresses; tries the next one if an
// address does not answer or cannot serve the request now. All tries of a
// change use the same idempotency key, so that it is applied once.
#pragma once

#include "observe/ctl/http_client.hpp"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace bergamotusher::ctl
{

/// Sends one request to one address: `send` with a timeout, or a fake in
/// tests.
using send_function =
    std::function<http_result(const endpoint&, const http_request&)>;

/// The outcome of all tries.
struct failover_result
{
    /// The last response, successful or not; empty if no address answered.
    std::optional<http_answer> answer;
    /// Failures of the tries that got no response, in order.
    std::vector<failure> failures;
    /// A change may have been applied: the response to it was lost or did not
    /// tell, and no later try succeeded.
    bool outcome_unknown = false;
};

/// Tries each address in turn, up to `max_rounds` times, until a response is
/// final.
failover_result send_with_failover(
    const std::vector<endpoint>& addresses,
    const http_request& request,
    unsigned max_rounds,
    const send_function& send_request);

/// Whether another address or a later try could succeed after `answer`.
bool is_retriable(const http_answer& answer);

/// Parses the problem document of a failed response. The kind is `internal`
/// if the response names no known one.
failure parse_problem(const http_answer& answer);

/// Whether the status of `answer` is 2xx.
bool succeeded(const http_answer& answer);

} // namespace bergamotusher::ctl
