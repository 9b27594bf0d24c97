/// \file
/// \brief Tracks whether a target is starting, and how much of its load it may be given.
#pragma once

#include "yuccaspan/clock.hpp"
#include "yuccaspan/target_order.hpp"

#include <string>

namespace yuccaspan::impl {

/// \brief The fraction of a target's slots that may be used.
///
/// The fraction falls to the cold allowance on evidence of a start: a new start id, refused work,
/// a failed connection, the target's own word. It grows while the target answers in time, and
/// stands still while it is silent. Growth after a start does not depend on the target's word. If
/// the target turns out to have its old start id, it never was cold and the fraction is restored.
class ColdLimiter
{
public:
    /// \brief Sets the fraction used at first, 0 to 1.
    void setColdAllowance(double share) noexcept { m_coldAllowance = share; }

    /// \name Evidence
    /// @{
    /// \brief The target showed its start id and state.
    /// \returns Whether this showed a start that was not known.
    bool sawTarget(const std::string &startId, TargetState state, TimePoint now);
    /// \brief The target answered a request in time.
    void answeredInTime(TimePoint now) noexcept;
    /// \brief The target refused work, could not be reached, or was much too slow while starting.
    void trouble(TimePoint now) noexcept;
    /// @}

    /// \brief Whether the target counts as starting.
    [[nodiscard]] bool isCold() const noexcept { return m_fraction < 1; }
    /// \brief Fraction of the slots that may be used, 0 to 1.
    [[nodiscard]] double fraction() const noexcept { return m_fraction; }

private:
    void grow(TimePoint now) noexcept;
    void collapse(TimePoint now) noexcept;

    std::string m_startId;
    TargetState m_state = TargetState::Warm;
    bool m_started = false; ///< Whether a start was seen, and not only trouble.
    double m_coldAllowance = 0.1;
    double m_fraction = 1;
    TimePoint m_lastGoodSign;
};

} // namespace yuccaspan::impl
