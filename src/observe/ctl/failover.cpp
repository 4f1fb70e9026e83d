#include "observe/ctl/failover.hpp"

#include <nlohmann/json.hpp>

#include <string_view>

namespace bergamotusher::ctl
{

namespace
{

std::optional<error_kind> kind_named(std::string_view name)
{
    const int last = static_cast<int>(error_kind::internal);
    for (int value = 1; value <= last; ++value)
    {
        const auto kind = static_cast<error_kind>(value);
        if (answer_of(kind).name == name)
            return kind;
    }
    return std::nullopt;
}

std::string text_at(const nlohmann::json& object, const char* name)
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

bool claims_unknown(const http_answer& answer)
{
    const auto problem = nlohmann::json::parse(answer.body, nullptr, false);
    return problem.is_object() && text_at(problem, "run") == "unknown";
}

/// Takes in one try; true if no other is needed.
bool settle(ask_result& result, const http_request& request, http_result tried)
{
    if (auto* lost = std::get_if<failure>(&tried))
    {
        if (lost->kind == error_kind::outcome_unknown && is_change(request))
            result.outcome_unknown = true;
        result.failures.push_back(std::move(*lost));
        return false;
    }
    result.answer = std::get<http_answer>(std::move(tried));
    if (succeeded(*result.answer))
    {
        result.outcome_unknown = false;
        return true;
    }
    if (is_change(request) && claims_unknown(*result.answer))
        result.outcome_unknown = true;
    return !worth_another_try(*result.answer);
}

} // namespace

bool succeeded(const http_answer& answer)
{
    return answer.status >= 200 && answer.status < 300;
}

failure problem_of(const http_answer& answer)
{
    const auto problem = nlohmann::json::parse(answer.body, nullptr, false);
    const std::string status = "status " + std::to_string(answer.status);
    if (!problem.is_object())
        return {error_kind::internal, status};
    const auto kind = kind_named(text_at(problem, "kind"));
    std::string detail = text_at(problem, "detail");
    if (detail.empty())
        detail = text_at(problem, "title");
    return {
        kind.value_or(error_kind::internal), detail.empty() ? status : detail};
}

bool worth_another_try(const http_answer& answer)
{
    if (succeeded(answer))
        return false;
    const error_kind kind = problem_of(answer).kind;
    return bergamotusher::answer_of(kind).retry != retry_advice::never;
}

ask_result
ask(const std::vector<endpoint>& addresses,
    const http_request& request,
    unsigned rounds,
    const try_function& attempt)
{
    ask_result result;
    for (unsigned round = 0; round < rounds; ++round)
        for (const endpoint& address : addresses)
            if (settle(result, request, attempt(address, request)))
                return result;
    return result;
}

} // namespace bergamotusher::ctl
