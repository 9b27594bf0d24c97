/// \file
/// \brief Paces an instance whose share of a target is less than one slot.
#pragma once

#include "yuccaspan/clock.hpp"

namespace yuccaspan::impl {

/// \brief A budget of slot time that is earned at the rate of the share and spent by requests.
///
/// Instances that share one slot this way keep, on average, to their fractions of it.
class SlotTimeBudget
{
public:
    /// \brief Earns slot time up to now at the given rate.
    /// \param slots The share, in slots.
    /// \param usual Usual latency of a request; bounds what can be saved up.
    /// \param now The current time.
    void earn(double slots, Duration usual, TimePoint now) noexcept;
    /// \brief A request held a slot for this long.
    void spend(Duration held) noexcept { m_balance -= static_cast<double>(held.count()); }
    /// \brief Whether a request may be sent.
    [[nodiscard]] bool allows() const noexcept { return m_balance >= 0; }

private:
    double m_balance = 0; // microseconds
    TimePoint m_earnedUntil;
};

} // namespace yuccaspan::impl
