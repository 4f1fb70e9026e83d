// Tables of names for enumerations, and conversions by them.
//
// An enumeration `E` takes part by declaring, in its own namespace, a function
// `constexpr auto enum_names(E)` that returns a `std::array` of
// `enum_name<E>`, one element for each enumerator.
#pragma once

#include <array>
#include <optional>
#include <string_view>

namespace bergamotusher
{

/// One row of a table of names.
template<class E>
struct enum_name
{
    E value;
    std::string_view name;
};

/// The name of `value`; "?" for a value outside the table.
template<class E>
constexpr std::string_view to_name(E value)
{
    for (const auto& row : enum_names(E{}))
        if (row.value == value)
            return row.name;
    return "?";
}

/// The enumerator called `name`, or nothing.
template<class E>
constexpr std::optional<E> from_name(std::string_view name)
{
    for (const auto& row : enum_names(E{}))
        if (row.name == name)
            return row.value;
    return std::nullopt;
}

} // namespace bergamotusher
