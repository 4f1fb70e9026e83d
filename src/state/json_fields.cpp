#include "state/json_fields.hpp"

#include <limits>
#include <utility>

namespace bergamotusher::state
{

json_fields parse_fields(std::string_view text)
{
    json_fields from;
    from.object = nlohmann::json::parse(text, nullptr, false);
    if (!from.object.is_object())
    {
        from.object = nlohmann::json::object();
        from.problem = failure{
            error_kind::invalid_configuration, "body: must be a JSON object"};
    }
    return from;
}

void reject(json_fields& from, const std::string& field, std::string reason)
{
    if (!from.problem)
        from.problem = failure{
            error_kind::invalid_configuration,
            from.prefix + field + ": " + std::move(reason)};
}

const nlohmann::json* take(json_fields& from, const std::string& field)
{
    from.taken.insert(field);
    const auto found = from.object.find(field);
    return found == from.object.end() ? nullptr : &*found;
}

void read(json_fields& from, const std::string& field, double& to)
{
    const auto* value = take(from, field);
    if (value == nullptr)
        return;
    if (!value->is_number())
        reject(from, field, "must be a number");
    else
        to = value->get<double>();
}

void read(json_fields& from, const std::string& field, bool& to)
{
    const auto* value = take(from, field);
    if (value == nullptr)
        return;
    if (!value->is_boolean())
        reject(from, field, "must be true or false");
    else
        to = value->get<bool>();
}

void read(json_fields& from, const std::string& field, std::uint32_t& to)
{
    std::int64_t wide = to;
    read(from, field, wide);
    if (wide < 0 || wide > std::numeric_limits<std::uint32_t>::max())
        reject(from, field, "must be a whole number from 0 to 4294967295");
    else
        to = static_cast<std::uint32_t>(wide);
}

void read(json_fields& from, const std::string& field, std::int64_t& to)
{
    const auto* value = take(from, field);
    if (value == nullptr)
        return;
    const bool fits = value->is_number_integer() &&
                      (!value->is_number_unsigned() ||
                       value->get<std::uint64_t>() <=
                           static_cast<std::uint64_t>(
                               std::numeric_limits<std::int64_t>::max()));
    if (!fits)
        reject(from, field, "must be a whole number");
    else
        to = value->get<std::int64_t>();
}

void read(json_fields& from, const std::string& field, std::string& to)
{
    const auto* value = take(from, field);
    if (value == nullptr)
        return;
    if (!value->is_string())
        reject(from, field, "must be a string");
    else
        to = value->get<std::string>();
}

void require(json_fields& from, const std::string& field)
{
    if (take(from, field) == nullptr)
        reject(from, field, "is required");
}

void finish(json_fields& from)
{
    for (const auto& item : from.object.items())
        if (from.taken.count(item.key()) == 0)
            reject(from, item.key(), "is not a field of this");
}

} // namespace bergamotusher::state
