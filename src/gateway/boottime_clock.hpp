/// \file
/// \brief Clock for leases.
#pragma once

#include "yuccaspan/clock.hpp"

#include <ctime>

namespace yuccaspan::gateway {

/// \brief A steady clock that keeps counting while the machine is suspended.
/// A lease that expired during a suspension must be seen as expired.
class BoottimeClock final : public Clock
{
public:
    [[nodiscard]] TimePoint now() const noexcept override
    {
        timespec value{};
        ::clock_gettime(CLOCK_BOOTTIME, &value);
        const auto whole = std::chrono::seconds(value.tv_sec);
        const auto part = std::chrono::nanoseconds(value.tv_nsec);
        return TimePoint(std::chrono::duration_cast<Duration>(whole + part));
    }
};

} // namespace yuccaspan::gateway
