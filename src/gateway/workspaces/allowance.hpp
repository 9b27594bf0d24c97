/// \file
/// \brief This instance's part of a workspace's allowance.
#pragma once

#include "yuccaspan/clock.hpp"

namespace yuccaspan::gateway {

/// \brief What all instances together may pass on for a workspace.
struct AllowanceLimit
{
    double perSecond = 0; ///< Requests a second; 0: no limit.
    double burst = 0; ///< Further requests after a pause.

    [[nodiscard]] friend bool operator==(const AllowanceLimit &, const AllowanceLimit &) = default;
};

/// \brief A token bucket with a part of an allowance.
///
/// The parts of all instances add up to the allowance, so that it holds also while instances can't
/// reach each other.
class Allowance
{
public:
    /// \brief Sets the limit and this instance's part of it. Tokens beyond the new burst are lost.
    /// \param part Fraction of the limit that this instance may use, at most 1.
    void configure(const AllowanceLimit &limit, double part, TimePoint now) noexcept;
    /// \brief Takes one request.
    /// \returns Zero if it may be passed on, or the time until there is room for it.
    [[nodiscard]] Duration take(TimePoint now) noexcept;
    /// \brief The limit of all instances together.
    [[nodiscard]] const AllowanceLimit &limit() const noexcept { return m_limit; }

private:
    void refill(TimePoint now) noexcept;
    [[nodiscard]] double capacity() const noexcept;

    AllowanceLimit m_limit;
    double m_part = 0;
    double m_tokens = 0;
    TimePoint m_filledAt{};
    bool m_started = false;
};

} // namespace yuccaspan::gateway
