/// \file
/// \brief Name tables for enumerations.
#pragma once

#include <array>
#include <optional>
#include <ostream>
#include <string_view>
#include <type_traits>
#include <utility>

namespace yuccaspan {

/// \brief One row of a name table.
template <typename E>
using EnumName = std::pair<E, std::string_view>;

/// \brief Specialize with a static member `table` to define the names of an enumeration.
template <typename E>
struct EnumNames;

/// \brief An enumeration that has a name table.
template <typename E>
concept NamedEnum = std::is_enum_v<E> && requires
{
    EnumNames<E>::table;
};

/// \brief The name of an enumerator.
/// \param value The enumerator.
/// \returns Its name, or "unknown" for a value outside the table.
template <NamedEnum E>
[[nodiscard]] constexpr std::string_view toString(E value) noexcept
{
    for (const auto &[candidate, name] : EnumNames<E>::table) {
        if (candidate == value)
            return name;
    }
    return "unknown";
}

/// \brief Looks up an enumerator by its name.
/// \param name The name, case-sensitive.
/// \returns The enumerator, or nothing if no enumerator has that name.
template <NamedEnum E>
[[nodiscard]] constexpr std::optional<E> fromString(std::string_view name) noexcept
{
    for (const auto &[candidate, candidateName] : EnumNames<E>::table) {
        if (candidateName == name)
            return candidate;
    }
    return std::nullopt;
}

/// \brief Writes the name of an enumerator.
template <NamedEnum E>
std::ostream &operator<<(std::ostream &stream, E value)
{
    return stream << toString(value);
}

} // namespace yuccaspan
