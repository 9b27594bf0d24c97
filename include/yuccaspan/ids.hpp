/// \file
/// \brief Strongly typed names and numbers.
#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace yuccaspan {

/// \brief A name that cannot be mixed up with a name of another kind.
template <typename Tag>
class Name
{
public:
    /// \name Construction
    /// @{
    Name() = default;
    explicit Name(std::string text) noexcept : m_text(std::move(text)) { }
    /// @}

    /// \name Access
    /// @{
    /// \brief The text of the name.
    [[nodiscard]] const std::string &text() const noexcept { return m_text; }
    /// \brief Whether the name is unset.
    [[nodiscard]] bool empty() const noexcept { return m_text.empty(); }
    /// @}

    [[nodiscard]] friend bool operator==(const Name &, const Name &) = default;
    [[nodiscard]] friend auto operator<=>(const Name &, const Name &) = default;
    friend std::ostream &operator<<(std::ostream &stream, const Name &name)
    {
        return stream << name.m_text;
    }

private:
    std::string m_text;
};

/// \brief A number that cannot be mixed up with a number of another kind.
template <typename Tag>
struct Number
{
    std::uint64_t value = 0; ///< The plain number.

    [[nodiscard]] friend constexpr bool operator==(Number, Number) = default;
    [[nodiscard]] friend constexpr auto operator<=>(Number, Number) = default;
    friend std::ostream &operator<<(std::ostream &stream, Number number)
    {
        return stream << number.value;
    }
    /// \brief The number after this one.
    [[nodiscard]] constexpr Number next() const noexcept { return Number{value + 1}; }
};

using ServiceName = Name<struct ServiceNameTag>; ///< A service, as configured.
using TargetId = Name<struct TargetIdTag>; ///< A target, unique over all services.
using ZoneId = Name<struct ZoneIdTag>; ///< An availability zone.
using RegionId = Name<struct RegionIdTag>; ///< A region, a group of availability zones.
using InstanceId =
    Name<struct InstanceIdTag>; ///< An entry instance with its start id, "name#start".

using Term = Number<struct TermTag>; ///< Grows with each change of a cell's placer.
using FencingToken = Number<struct FencingTokenTag>; ///< Grows with each change of a slice's owner.
using ObjectVersion =
    Number<struct ObjectVersionTag>; ///< Version of an object in the store; 0: absent.

} // namespace yuccaspan

template <typename Tag>
struct std::hash<yuccaspan::Name<Tag>>
{
    std::size_t operator()(const yuccaspan::Name<Tag> &name) const noexcept
    {
        return std::hash<std::string>()(name.text());
    }
};

template <typename Tag>
struct std::hash<yuccaspan::Number<Tag>>
{
    std::size_t operator()(yuccaspan::Number<Tag> number) const noexcept
    {
        return std::hash<std::uint64_t>()(number.value);
    }
};
