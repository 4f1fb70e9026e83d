// Name tables for enumerations, and conversions between enumerators and names.
//
// To use it, declare in the namespace of an enumeration `E` a function
// `constexpr auto enum_names(E)` that returns a `std::array` of `enum_name<E>`,
// with one element for each enumerator.
#pragma once

#include <array>
#include <optional>
#include <string_view>

namespace bergamotusher
{

/// One row of a name table.
template<class E>
struct enum_name
{
    E value;
    std::string_view name;
};

/// Returns the name of `value`, or "?" if it is not in the table.
template<class E>
constexpr std::string_view to_name(E value)
{
    for (const auto& row : enum_names(E{}))
        if (row.value == value)
            return row.name;
    return "?";
}

/// Returns the enumerator with this name, or nothing.
template<class E>
constexpr std::optional<E> from_name(std::string_view name)
{
    for (const auto& row : enum_names(E{}))
        if (row.name == name)
            return row.value;
    return std::nullopt;
}

} // namespace bergamotusher
