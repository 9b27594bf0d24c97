/// \file
/// \brief What a new desired state changes for callers.
#pragma once

#include "gateway/desired_state.hpp"

#include <string>
#include <vector>

namespace yuccaspan::gateway {

/// \brief A difference between two desired states.
struct StateChange
{
    std::string entry; ///< The entry, such as "route shop/orders/"; never holds a key.
    std::string text; ///< What changes, such as "timeout 1.5 s -> 2 s".

    [[nodiscard]] friend bool operator==(const StateChange &, const StateChange &) = default;
};

/// \brief Compares two desired states by their effect.
///
/// Names of routes, the order of entries, and weights with the same proportions have none.
[[nodiscard]] std::vector<StateChange> changesBetween(const DesiredState &before,
                                                      const DesiredState &after);

} // namespace yuccaspan::gateway
