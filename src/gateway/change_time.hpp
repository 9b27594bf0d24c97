/// \file
/// \brief Since when a change that the store tells of can have been in force.
#pragma once

#include "yuccaspan/clock.hpp"

namespace yuccaspan::gateway {

/// \brief Earliest time at which the store can have acknowledged what an answer shows anew.
///
/// A watch that waited tells of a change that has just come; what an answer shows at once came at
/// any time since the answer before. \param askedAt When the call was sent. \param answeredAt When
/// the answer before was read.
[[nodiscard]] constexpr TimePoint earliestChange(TimePoint now, TimePoint askedAt,
                                                 TimePoint answeredAt) noexcept
{
    // A machine at whose link packets wait longer counts as slowed (rules of the platform).
    constexpr Duration longestWay = std::chrono::milliseconds(500);
    const bool waited = now - askedAt > 2 * longestWay;
    return (waited ? now : answeredAt) - longestWay;
}

} // namespace yuccaspan::gateway
