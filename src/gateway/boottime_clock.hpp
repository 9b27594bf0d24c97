/// \file
/// \brief The clock that leases are measured with.
#pragma once

#include "yuccaspan/clock.hpp"

#include <ctime>

namespace yuccaspan::gateway {

/// \brief A steady clock that also counts the time in which the machine was suspended.
/// A lease that ended while the machine stood still must be seen as ended.
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
