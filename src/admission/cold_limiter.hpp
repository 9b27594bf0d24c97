/// \file
/// \brief Limits the load of a target that is cold after a start.
#pragma once

#include "yuccaspan/clock.hpp"
#include "yuccaspan/target_order.hpp"

#include <string>

namespace yuccaspan::impl {

/// \brief The fraction of a target's slots that may be used.
///
/// The fraction drops to the cold allowance on evidence of a start: a new start id, a rejected
/// request, a failed connection, or a reported cold state. It grows while the target answers in
/// time and does not change while no answers arrive. After a start the target must accrue this
/// growth even if it reports that it is warm. If its start id turns out to be unchanged, the
/// target was not cold and the fraction is restored.
class ColdLimiter
{
public:
    /// \brief Sets the fraction used right after a start, 0 to 1.
    void setColdAllowance(double share) noexcept { m_coldAllowance = share; }

    /// \name Evidence
    /// @{
    /// \brief Records the start id and state that the target reported.
    /// \returns Whether this revealed a new start.
    bool recordTargetState(const std::string &startId, TargetState state, TimePoint now);
    /// \brief Records an answer in time.
    void recordSuccess(TimePoint now) noexcept;
    /// \brief Records a rejected request, a failed connection, or a very slow answer while cold.
    void recordFailure(TimePoint now) noexcept;
    /// @}

    /// \brief Whether the target counts as cold.
    [[nodiscard]] bool isCold() const noexcept { return m_fraction < 1; }
    /// \brief Fraction of the slots that may be used, 0 to 1.
    [[nodiscard]] double fraction() const noexcept { return m_fraction; }

private:
    void grow(TimePoint now) noexcept;
    void resetFraction(TimePoint now) noexcept;

    std::string m_startId;
    TargetState m_state = TargetState::Warm;
    bool m_started = false; ///< Whether a start was observed, not just failures.
    double m_coldAllowance = 0.1;
    double m_fraction = 1;
    TimePoint m_lastSuccess;
};

} // namespace yuccaspan::impl
