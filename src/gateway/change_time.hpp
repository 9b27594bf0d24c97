/// \file
/// \brief Earliest time at which a change reported by the store can have taken effect.
#pragma once

#include "yuccaspan/clock.hpp"

namespace yuccaspan::gateway {

/// \brief Earliest time at which the store can have acknowledged the changes in an answer.
///
/// A watch that waited reports a change that has just happened; an immediate answer may contain
/// changes made at any time since the previous answer.
/// \param askedAt When the call was sent.
/// \param answeredAt When the previous answer was read.
[[nodiscard]] constexpr TimePoint earliestChange(TimePoint now, TimePoint askedAt,
                                                 TimePoint answeredAt) noexcept
{
    // The platform's rules count a machine as slowed if packets wait longer at its link.
    constexpr Duration maxNetworkDelay = std::chrono::milliseconds(500);
    const bool waited = now - askedAt > 2 * maxNetworkDelay;
    return (waited ? now : answeredAt) - maxNetworkDelay;
}

} // namespace yuccaspan::gateway
