// Asks one of several addresses: the next one where one does not answer or
// cannot serve now. A change keeps its idempotency key over all tries.
#pragma once

#include "observe/ctl/http_client.hpp"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace bergamotusher::ctl
{

/// How one try is made; `send` with a time limit, or a fake in tests.
using try_function =
    std::function<http_result(const endpoint&, const http_request&)>;

/// What came of asking.
struct ask_result
{
    /// The last answer, good or bad; none if no address gave one.
    std::optional<http_answer> answer;
    /// What went wrong on the way, in order.
    std::vector<failure> failures;
    /// A change was sent whose answer was lost, and no later try settled it.
    bool outcome_unknown = false;
};

/// Asks each address in turn, `rounds` times over, until one settles it.
ask_result
ask(const std::vector<endpoint>& addresses,
    const http_request& request,
    unsigned rounds,
    const try_function& attempt);

/// Whether `answer` is one that another entry, or a later try, can better.
bool worth_another_try(const http_answer& answer);

/// Kind and words of a problem answer; `internal` where it names no kind.
failure problem_of(const http_answer& answer);

/// Whether the request was carried out.
bool succeeded(const http_answer& answer);

} // namespace bergamotusher::ctl
