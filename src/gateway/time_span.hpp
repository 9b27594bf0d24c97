/// \file
/// \brief Spans of time as numbers.
#pragma once

#include "yuccaspan/clock.hpp"

namespace yuccaspan::gateway {

/// \brief Seconds from one time to another, with fractions; negative if the other is earlier.
[[nodiscard]] constexpr double secondsBetween(TimePoint from, TimePoint to) noexcept
{
    return std::chrono::duration<double>(to - from).count();
}

} // namespace yuccaspan::gateway
