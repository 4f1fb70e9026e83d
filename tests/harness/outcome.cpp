#include "harness/outcome.hpp"

#include <nlohmann/json.hpp>

namespace bergamotusher::tests
{

operation_outcome put_outcome(const client_response& answer)
{
    if (!answer.complete)
        return operation_outcome::unknown;
    if (answer.status == 200)
        return operation_outcome::done;
    return answer.status == 412 ? operation_outcome::refused
                                : operation_outcome::unknown;
}

operation_outcome order_outcome(const client_response& answer)
{
    if (!answer.complete)
        return operation_outcome::unknown;
    if (answer.status == 201)
        return operation_outcome::done;
    const auto problem = nlohmann::json::parse(answer.body, nullptr, false);
    return problem.is_object() && problem.value("run", "") == "not_run"
               ? operation_outcome::refused
               : operation_outcome::unknown;
}

} // namespace bergamotusher::tests
