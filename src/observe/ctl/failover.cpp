#include "observe/ctl/failover.hpp"

#include <nlohmann/json.hpp>

#include <string_view>

namespace bergamotusher::ctl
{

namespace
{

std::optional<error_kind> parse_error_kind(std::string_view name)
{
    const int last = static_cast<int>(error_kind::internal);
    for (int value = 1; value <= last; ++value)
    {
        const auto kind = static_cast<error_kind>(value);
        if (error_answer_for(kind).name == name)
            return kind;
    }
    return std::nullopt;
}

std::string string_field(const nlohmann::json& object, const char* name)
{
    const auto field = object.find(name);
    if (field == object.end() || !field->is_string())
        return "";
    return field->get<std::string>();
}

bool is_change(const http_request& request)
{
    return request.method != boost::beast::http::verb::get;
}

bool reports_unknown_outcome(const http_answer& answer)
{
    const auto problem = nlohmann::json::parse(answer.body, nullptr, false);
    return problem.is_object() && string_field(problem, "run") == "unknown";
}

/// Adds the outcome of one try to `result`; true if no other try is needed.
bool record_attempt(
    failover_result& result, const http_request& request, http_result attempt)
{
    if (auto* error = std::get_if<failure>(&attempt))
    {
        if (error->kind == error_kind::outcome_unknown && is_change(request))
            result.outcome_unknown = true;
        result.failures.push_back(std::move(*error));
        return false;
    }
    result.answer = std::get<http_answer>(std::move(attempt));
    if (succeeded(*result.answer))
    {
        result.outcome_unknown = false;
        return true;
    }
    if (is_change(request) && reports_unknown_outcome(*result.answer))
        result.outcome_unknown = true;
    return !is_retriable(*result.answer);
}

} // namespace

bool succeeded(const http_answer& answer)
{
    return answer.status >= 200 && answer.status < 300;
}

failure parse_problem(const http_answer& answer)
{
    const auto problem = nlohmann::json::parse(answer.body, nullptr, false);
    const std::string status = "status " + std::to_string(answer.status);
    if (!problem.is_object())
        return {error_kind::internal, status};
    const auto kind = parse_error_kind(string_field(problem, "kind"));
    std::string detail = string_field(problem, "detail");
    if (detail.empty())
        detail = string_field(problem, "title");
    return {
        kind.value_or(error_kind::internal), detail.empty() ? status : detail};
}

bool is_retriable(const http_answer& answer)
{
    if (succeeded(answer))
        return false;
    const error_kind kind = parse_problem(answer).kind;
    return bergamotusher::error_answer_for(kind).retry != retry_advice::never;
}

failover_result send_with_failover(
    const std::vector<endpoint>& addresses,
    const http_request& request,
    unsigned max_rounds,
    const send_function& send_request)
{
    failover_result result;
    for (unsigned round = 0; round < max_rounds; ++round)
        for (const endpoint& address : addresses)
            if (record_attempt(result, request, send_request(address, request)))
                return result;
    return result;
}

} // namespace bergamotusher::ctl
