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

void add_problem(
    json_fields& from, const std::string& field, std::string reason)
{
    if (!from.problem)
        from.problem = failure{
            error_kind::invalid_configuration,
            from.prefix + field + ": " + std::move(reason)};
}

const nlohmann::json* find_field(json_fields& from, const std::string& field)
{
    from.known.insert(field);
    const auto found = from.object.find(field);
    return found == from.object.end() ? nullptr : &*found;
}

void read(json_fields& from, const std::string& field, double& to)
{
    const auto* value = find_field(from, field);
    if (value == nullptr)
        return;
    if (!value->is_number())
        add_problem(from, field, "must be a number");
    else
        to = value->get<double>();
}

void read(json_fields& from, const std::string& field, bool& to)
{
    const auto* value = find_field(from, field);
    if (value == nullptr)
        return;
    if (!value->is_boolean())
        add_problem(from, field, "must be true or false");
    else
        to = value->get<bool>();
}

void read(json_fields& from, const std::string& field, std::uint32_t& to)
{
    std::int64_t wide = to;
    read(from, field, wide);
    if (wide < 0 || wide > std::numeric_limits<std::uint32_t>::max())
        add_problem(from, field, "must be a whole number from 0 to 4294967295");
    else
        to = static_cast<std::uint32_t>(wide);
}

void read(json_fields& from, const std::string& field, std::int64_t& to)
{
    const auto* value = find_field(from, field);
    if (value == nullptr)
        return;
    const bool fits = value->is_number_integer() &&
                      (!value->is_number_unsigned() ||
                       value->get<std::uint64_t>() <=
                           static_cast<std::uint64_t>(
                               std::numeric_limits<std::int64_t>::max()));
    if (!fits)
        add_problem(from, field, "must be a whole number");
    else
        to = value->get<std::int64_t>();
}

void read(json_fields& from, const std::string& field, std::string& to)
{
    const auto* value = find_field(from, field);
    if (value == nullptr)
        return;
    if (!value->is_string())
        add_problem(from, field, "must be a string");
    else
        to = value->get<std::string>();
}

void require_field(json_fields& from, const std::string& field)
{
    if (find_field(from, field) == nullptr)
        add_problem(from, field, "is required");
}

void reject_unknown_fields(json_fields& from)
{
    for (const auto& item : from.object.items())
        if (from.known.count(item.key()) == 0)
            add_problem(from, item.key(), "is not a field of this");
}

} // namespace bergamotusher::state
