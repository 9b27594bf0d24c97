/// \file
/// \brief Adapts the number of requests at a target to the latency that it shows.
#pragma once

#include "yuccaspan/clock.hpp"

namespace yuccaspan::impl {

/// \brief A surplus over the instance's share: it grows while answers come at the usual latency,
/// and shrinks at once when they come late.
class ConcurrencyLimit
{
public:
    /// \brief A request was answered.
    /// \param latency Its latency.
    /// \param usual The target's usual latency.
    void answered(Duration latency, Duration usual) noexcept;
    /// \brief The target refused work or failed.
    void trouble() noexcept { m_surplus = 0; }
    /// \brief Factor by which the share may be exceeded, at least 1.
    [[nodiscard]] double factor() const noexcept { return 1 + m_surplus; }

private:
    double m_surplus = 0;
};

} // namespace yuccaspan::impl
