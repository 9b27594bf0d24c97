/// \file
/// \brief Adapts the number of concurrent requests at a target to its latency.
#pragma once

#include "yuccaspan/clock.hpp"

namespace yuccaspan::impl {

/// \brief A surplus over the instance's share. It grows additively while answers come at the
/// baseline latency and shrinks by a factor with each late answer.
class ConcurrencyLimit
{
public:
    /// \brief Records an answer.
    /// \param latency Latency of the answer.
    /// \param baseline Baseline latency of the target.
    void answered(Duration latency, Duration baseline) noexcept;
    /// \brief Drops the surplus after a rejected or failed request.
    void recordFailure() noexcept { m_surplus = 0; }
    /// \brief Factor by which the share may be exceeded, at least 1.
    [[nodiscard]] double factor() const noexcept { return 1 + m_surplus; }

private:
    double m_surplus = 0;
};

} // namespace yuccaspan::impl
