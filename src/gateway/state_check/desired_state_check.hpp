/// \file
/// \brief Finds mistakes in a desired state before it is sent.
#pragma once

#include "gateway/desired_state.hpp"
#include "yuccaspan/enum_names.hpp"

#include <array>
#include <string>
#include <vector>

namespace yuccaspan::gateway {

/// \brief What is wrong with an entry.
enum class FindingKind {
    Invalid, ///< A value that the gateway can't serve by.
    NeverMatches, ///< No request can ever reach the entry.
    Contradicts, ///< Two limits of which one can't take effect.
    Ineffective, ///< A value without an effect.
};

/// \brief A mistake in a desired state.
struct Finding
{
    FindingKind kind = FindingKind::Invalid;
    std::string entry; ///< The entry, such as "route shop/orders/"; never holds a key.
    std::string text; ///< What is wrong, and what was expected.

    [[nodiscard]] friend bool operator==(const Finding &, const Finding &) = default;
};

/// \brief Checks a desired state.
/// \returns All findings in the order of the entries; empty if there are none.
[[nodiscard]] std::vector<Finding> checkDesiredState(const DesiredState &state);

/// \brief Name of a route in findings and differences: host and prefix, which callers know.
[[nodiscard]] std::string routeTitle(const Route &route);

} // namespace yuccaspan::gateway

/// \brief Names of the kinds, as printed.
template <>
struct yuccaspan::EnumNames<yuccaspan::gateway::FindingKind>
{
    using Kind = yuccaspan::gateway::FindingKind;
    static constexpr std::array<EnumName<Kind>, 4> table{{
        {Kind::Invalid, "invalid"},
        {Kind::NeverMatches, "never-matches"},
        {Kind::Contradicts, "contradicts"},
        {Kind::Ineffective, "ineffective"},
    }};
};
