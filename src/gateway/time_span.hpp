/// \file
/// \brief Conversion of time spans to numbers.
#pragma once

#include "yuccaspan/clock.hpp"

namespace yuccaspan::gateway {

/// \brief Seconds between two times, with fractions; negative if `to` is earlier.
[[nodiscard]] constexpr double secondsBetween(TimePoint from, TimePoint to) noexcept
{
    return std::chrono::duration<double>(to - from).count();
}

} // namespace yuccaspan::gateway
