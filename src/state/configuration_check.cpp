#include "state/configuration_check.hpp"

#include <algorithm>
#include <cmath>
#include <set>
#include <string>

namespace bergamotusher::state
{

namespace
{

constexpr duration max_time = 24h;
constexpr double max_rate = 1e9;
constexpr std::uint32_t max_priority = 1'000;
constexpr std::uint32_t max_connections = 1'000'000;

using problem = std::optional<failure>;

problem invalid(const std::string& field, const std::string& reason)
{
    return failure{error_kind::invalid_configuration, field + ": " + reason};
}

problem check_time(const std::string& field, duration value)
{
    if (value <= duration::zero() || value > max_time)
        return invalid(field, "must be above 0 and at most 24 hours");
    return std::nullopt;
}

problem
check_number(const std::string& field, double value, double min, double max)
{
    if (!std::isfinite(value) || value < min || value > max)
        return invalid(
            field,
            "must be from " + std::to_string(min) + " to " +
                std::to_string(max));
    return std::nullopt;
}

problem check_name(const std::string& field, const std::string& value)
{
    if (!is_name(value))
        return invalid(
            field, "must be 1 to 128 letters, digits, '.', '_' or '-'");
    return std::nullopt;
}

problem first_problem(std::initializer_list<problem> problems)
{
    for (const problem& each : problems)
        if (each)
            return each;
    return std::nullopt;
}

problem check_value(const work_class& value)
{
    problem deadline_problem;
    if (value.deadline < value.first_token)
        deadline_problem =
            invalid("deadline_ms", "must not be below first_token_ms");
    return first_problem(
        {check_name("name", value.name.value),
         check_time("first_token_ms", value.first_token),
         check_time("token_gap_ms", value.token_gap),
         check_time("deadline_ms", value.deadline),
         deadline_problem,
         check_number(
             "cost_per_1k_tokens", value.cost_per_1k_tokens, 0, max_rate),
         check_number("priority", value.priority, 0, max_priority)});
}

problem check_routes(const std::vector<route>& routes)
{
    if (routes.size() > max_routes)
        return invalid("routes", "must be at most 64");
    std::set<std::string> prefixes;
    for (const route& each : routes)
    {
        if (each.path_prefix.empty() || each.path_prefix.front() != '/')
            return invalid("routes.path_prefix", "must begin with '/'");
        if (!prefixes.insert(each.path_prefix).second)
            return invalid(
                "routes.path_prefix",
                "'" + each.path_prefix + "' stands twice");
    }
    return std::nullopt;
}

problem check_value(const service& value)
{
    return first_problem(
        {check_name("name", value.name.value),
         check_name("default_class", value.default_class.value),
         check_routes(value.routes),
         check_number("retry_percent", value.retry_percent, 0, 100),
         check_number("trial_share", value.trial_share, 0.001, 0.5)});
}

bool is_sha256_hex(const std::string& text)
{
    constexpr std::size_t sha256_hex_digits = 64;
    return text.size() == sha256_hex_digits &&
           text.find_first_not_of("0123456789abcdef") == std::string::npos;
}

problem check_value(const account& value)
{
    problem digest_problem;
    if (!is_sha256_hex(value.key_digest))
        digest_problem = invalid(
            "key_digest", "must be a SHA-256 in 64 lower-case hex digits");
    return first_problem(
        {check_name("name", value.name.value),
         digest_problem,
         check_number(
             "requests_per_second", value.requests_per_second, 0.001, max_rate),
         check_number(
             "tokens_per_second", value.tokens_per_second, 0.001, max_rate),
         check_number("connections", value.connections, 1, max_connections),
         check_number("weight", value.weight, 0.001, max_rate)});
}

problem
check_references(const configuration& /*others*/, const work_class& /*value*/)
{
    return std::nullopt;
}

problem check_references(const configuration& others, const service& value)
{
    if (others.classes.count(value.default_class) == 0)
        return invalid(
            "default_class",
            "there is no class '" + value.default_class.value + "'");
    return std::nullopt;
}

problem check_references(const configuration& others, const account& value)
{
    for (const auto& [name, other] : others.accounts)
        if (name != value.name && other.key_digest == value.key_digest)
            return invalid("key_digest", "another account has this key");
    return std::nullopt;
}

} // namespace

bool is_name(std::string_view name)
{
    const auto allowed = [](char c)
    {
        return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
               (c >= '0' && c <= '9') || c == '.' || c == '_' || c == '-';
    };
    return !name.empty() && name.size() <= max_name_length &&
           std::all_of(name.begin(), name.end(), allowed);
}

std::optional<failure> check(const configuration_entry& entry)
{
    return std::visit(
        [](const auto& value) { return check_value(value); }, entry);
}

std::optional<failure>
check_against(const configuration& others, const configuration_entry& entry)
{
    return std::visit(
        [&](const auto& value) { return check_references(others, value); },
        entry);
}

} // namespace bergamotusher::state
