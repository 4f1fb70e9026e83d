#include "state/configuration_json.hpp"

#include "state/configuration_check.hpp"
#include "state/json_fields.hpp"

#include <utility>

namespace bergamotusher::state
{

namespace
{

using nlohmann::json;

constexpr double microseconds_per_millisecond = 1'000;
constexpr std::int64_t milliseconds_per_second = 1'000;
/// Far above any valid time, and small enough for a `duration`.
constexpr double max_milliseconds = 1e12;

void read_time(json_fields& from, const std::string& field, duration& to)
{
    double value =
        static_cast<double>(to.count()) / microseconds_per_millisecond;
    read(from, field, value);
    if (value < -max_milliseconds || value > max_milliseconds)
        add_problem(from, field, "must be above 0 and at most 24 hours");
    else
        to = duration{
            static_cast<std::int64_t>(value * microseconds_per_millisecond)};
}

double milliseconds(duration value)
{
    return static_cast<double>(value.count()) / microseconds_per_millisecond;
}

void read_name(json_fields& from, const std::string& name)
{
    std::string body_name = name;
    read(from, "name", body_name);
    if (body_name != name)
        add_problem(from, "name", "must be as in the path");
}

void read_kind(json_fields& from, upstream_kind& to)
{
    std::string name(to_name(to));
    read(from, "kind", name);
    if (const auto kind = from_name<upstream_kind>(name))
        to = *kind;
    else
        add_problem(from, "kind", "must be engine or plain");
}

void read_route(json_fields& from, const json& value, std::vector<route>& to)
{
    json_fields fields;
    fields.prefix = "routes.";
    fields.object = value.is_object() ? value : json::object();
    route each;
    require_field(fields, "path_prefix");
    read(fields, "path_prefix", each.path_prefix);
    read(fields, "repeatable", each.repeatable);
    reject_unknown_fields(fields);
    if (fields.problem && !from.problem)
        from.problem = fields.problem;
    to.push_back(std::move(each));
}

void read_routes(json_fields& from, std::vector<route>& to)
{
    const json* routes = find_field(from, "routes");
    if (routes == nullptr)
        return;
    if (!routes->is_array())
        return add_problem(from, "routes", "must be a list");
    for (const json& each : *routes)
        read_route(from, each, to);
}

/// Returns `value`, or the first problem found in its fields or by `check`.
template<class Value>
std::variant<Value, failure> finish_parsing(json_fields& from, Value value)
{
    reject_unknown_fields(from);
    if (!from.problem)
        from.problem = check(value);
    if (from.problem)
        return *from.problem;
    return value;
}

} // namespace

std::variant<work_class, failure>
parse_class(const std::string& name, std::string_view text)
{
    json_fields from = parse_fields(text);
    work_class to;
    to.name.value = name;
    read_name(from, name);
    read_time(from, "first_token_ms", to.first_token);
    read_time(from, "token_gap_ms", to.token_gap);
    read_time(from, "deadline_ms", to.deadline);
    read(from, "cost_per_1k_tokens", to.cost_per_1k_tokens);
    read(from, "priority", to.priority);
    return finish_parsing(from, std::move(to));
}

std::variant<service, failure>
parse_service(const std::string& name, std::string_view text)
{
    json_fields from = parse_fields(text);
    service to;
    to.name.value = name;
    read_name(from, name);
    read_kind(from, to.kind);
    require_field(from, "default_class");
    read(from, "default_class", to.default_class.value);
    read(from, "repeatable", to.repeatable);
    read_routes(from, to.routes);
    read(from, "deduplicates", to.deduplicates);
    read(from, "retry_percent", to.retry_percent);
    read(from, "trial_share", to.trial_share);
    return finish_parsing(from, std::move(to));
}

std::variant<account, failure>
parse_account(const std::string& name, std::string_view text)
{
    json_fields from = parse_fields(text);
    account to;
    to.name.value = name;
    read_name(from, name);
    require_field(from, "key_digest");
    read(from, "key_digest", to.key_digest);
    read(from, "requests_per_second", to.requests_per_second);
    read(from, "tokens_per_second", to.tokens_per_second);
    read(from, "connections", to.connections);
    read(from, "weight", to.weight);
    return finish_parsing(from, std::move(to));
}

std::variant<start_move, failure> parse_move(std::string_view text)
{
    json_fields from = parse_fields(text);
    start_move to;
    require_field(from, "service");
    require_field(from, "version");
    read(from, "service", to.service.value);
    read(from, "version", to.to.value);
    read(from, "from", to.from.value);
    const bool relative = find_field(from, "within_s") != nullptr;
    const bool absolute = find_field(from, "deadline_ms") != nullptr;
    if (relative == absolute)
        add_problem(from, "within_s", "give either this or deadline_ms");
    std::int64_t seconds = 0;
    read(from, "within_s", seconds);
    read(from, "deadline_ms", to.deadline.milliseconds);
    constexpr std::int64_t max_seconds = 1'000'000'000;
    if (relative && (seconds <= 0 || seconds > max_seconds))
        add_problem(from, "within_s", "must be 60 seconds to 30 days");
    to.within_ms = seconds * milliseconds_per_second;
    reject_unknown_fields(from);
    if (from.problem)
        return *from.problem;
    return to;
}

json to_json(const work_class& value)
{
    return {
        {"name", value.name.value},
        {"first_token_ms", milliseconds(value.first_token)},
        {"token_gap_ms", milliseconds(value.token_gap)},
        {"deadline_ms", milliseconds(value.deadline)},
        {"cost_per_1k_tokens", value.cost_per_1k_tokens},
        {"priority", value.priority}};
}

json to_json(const service& value)
{
    json routes = json::array();
    for (const route& each : value.routes)
        routes.push_back(
            {{"path_prefix", each.path_prefix},
             {"repeatable", each.repeatable}});
    return {
        {"name", value.name.value},
        {"kind", std::string(to_name(value.kind))},
        {"default_class", value.default_class.value},
        {"repeatable", value.repeatable},
        {"routes", routes},
        {"deduplicates", value.deduplicates},
        {"retry_percent", value.retry_percent},
        {"trial_share", value.trial_share}};
}

json to_json(const account& value)
{
    return {
        {"name", value.name.value},
        {"key_digest", value.key_digest},
        {"requests_per_second", value.requests_per_second},
        {"tokens_per_second", value.tokens_per_second},
        {"connections", value.connections},
        {"weight", value.weight}};
}

json to_json(const version_move& value)
{
    json to{
        {"id", value.id.value},
        {"service", value.service.value},
        {"from", value.from.value},
        {"version", value.to.value},
        {"state", std::string(to_name(value.phase))},
        {"share", value.share},
        {"started_ms", value.started.milliseconds},
        {"deadline_ms", value.deadline.milliseconds}};
    if (has_ended(value))
    {
        to["ended_ms"] = value.ended.milliseconds;
        to["reason"] = value.reason;
    }
    return to;
}

} // namespace bergamotusher::state
