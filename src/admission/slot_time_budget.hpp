/// \file
/// \brief Paces requests of an instance whose share of a target is less than one slot.
#pragma once

#include "yuccaspan/clock.hpp"

namespace yuccaspan::impl {

/// \brief A budget of slot time that accrues at the rate of the share and is consumed by requests.
///
/// Instances that share one slot this way stay within their fractions on average.
class SlotTimeBudget
{
public:
    /// \brief Accrues slot time up to now at the given rate.
    /// \param slots The share, in slots.
    /// \param baseline Baseline latency of a request; bounds the accrued time.
    /// \param now The current time.
    void accrue(double slots, Duration baseline, TimePoint now) noexcept;
    /// \brief Charges the time for which a request held a slot.
    void spend(Duration held) noexcept { m_balance -= static_cast<double>(held.count()); }
    /// \brief Whether a request may be sent.
    [[nodiscard]] bool allows() const noexcept { return m_balance >= 0; }

private:
    double m_balance = 0; // microseconds
    TimePoint m_accruedUntil;
};

} // namespace yuccaspan::impl
