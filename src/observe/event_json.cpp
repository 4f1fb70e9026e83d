#include "observe/event_json.hpp"

#include <string>

namespace bergamotusher::observe
{

namespace
{

void set_if_not_empty(
    nlohmann::json& object, const char* name, const std::string& value)
{
    if (!value.empty())
        object[name] = value;
}

failure make_malformed_failure(std::string detail)
{
    return {error_kind::malformed_message, std::move(detail)};
}

event read_fields(const nlohmann::json& object, event_kind kind)
{
    event value;
    value.kind = kind;
    value.at.wall = object.at("wall").get<std::int64_t>();
    value.at.logical = object.value("logical", std::uint32_t{0});
    value.node.value = object.value("node", "");
    value.request.value = object.value("request", "");
    value.attempt.value = object.value("attempt", "");
    value.target.value = object.value("upstream", "");
    value.move.value = object.value("move", "");
    value.number = object.value("number", std::uint64_t{0});
    value.detail = object.value("detail", "");
    return value;
}

} // namespace

nlohmann::json encode_event(const event& value)
{
    nlohmann::json object{
        {"wall", value.at.wall},
        {"logical", value.at.logical},
        {"kind", to_name(value.kind)}};
    set_if_not_empty(object, "node", value.node.value);
    set_if_not_empty(object, "request", value.request.value);
    set_if_not_empty(object, "attempt", value.attempt.value);
    set_if_not_empty(object, "upstream", value.target.value);
    set_if_not_empty(object, "move", value.move.value);
    if (value.number != 0)
        object["number"] = value.number;
    set_if_not_empty(object, "detail", value.detail);
    return object;
}

std::variant<event, failure> parse_event(const nlohmann::json& text)
{
    try
    {
        const auto name = text.at("kind").get<std::string>();
        const auto kind = from_name<event_kind>(name);
        if (!kind)
            return make_malformed_failure("unknown event kind " + name);
        return read_fields(text, *kind);
    }
    catch (const nlohmann::json::exception& error)
    {
        return make_malformed_failure(error.what());
    }
}

} // namespace bergamotusher::observe
