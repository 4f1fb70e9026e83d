#include "adapters/cloud.hpp"

#include <nlohmann/json.hpp>

namespace bergamotusher::cloud
{

using nlohmann::json;

namespace
{

constexpr double max_notice_seconds = 86'400;

std::optional<notice> parse_notice(const json& from)
{
    if (!from.is_object())
        return std::nullopt;
    const auto time_left = from.find("time_left_s");
    if (time_left == from.end() || !time_left->is_number())
        return std::nullopt;
    const double seconds = time_left->get<double>();
    if (!(seconds >= 0 && seconds <= max_notice_seconds))
        return std::nullopt;
    notice result;
    result.time_left = from_seconds(seconds);
    for (const char* name : {"instance", "failure_domain"})
    {
        const auto field = from.find(name);
        if (field != from.end() && !field->is_string())
            return std::nullopt;
    }
    result.instance = from.value("instance", "");
    result.domain.value = from.value("failure_domain", "");
    if (result.instance.empty() && result.domain.empty())
        return std::nullopt;
    return result;
}

} // namespace

std::variant<std::vector<notice>, failure>
parse_notices(const std::string& body)
{
    const json document = json::parse(body, nullptr, false);
    if (!document.is_object() || !document.contains("notices") ||
        !document["notices"].is_array())
        return failure{
            error_kind::malformed_answer, "notices: no list of notices"};
    std::vector<notice> result;
    for (const json& each : document["notices"])
    {
        const auto parsed = parse_notice(each);
        if (!parsed)
            return failure{
                error_kind::malformed_answer, "notices: a notice is malformed"};
        result.push_back(*parsed);
    }
    return result;
}

} // namespace bergamotusher::cloud
