/// \file
/// \brief Estimates the usual and the present latency of one target from an instance's own
/// requests.
#pragma once

#include "yuccaspan/clock.hpp"

#include <cstdint>

namespace yuccaspan::impl {

/// \brief Two exponential averages of latency; their quotient is the slowdown.
///
/// The slow one is the usual latency. Samples far above it count as outliers: they hardly raise
/// it, so that a slow spell does not become usual within its first minutes.
class LatencyEstimator
{
public:
    /// \brief A request was answered.
    void answered(Duration latency) noexcept;
    /// \brief Forgets the present latency, not the usual one: the target restarted.
    void restart() noexcept;

    /// \brief Usual latency; zero while unknown.
    [[nodiscard]] Duration usual() const noexcept;
    /// \brief Present latency; zero while unknown.
    [[nodiscard]] Duration present() const noexcept;
    /// \brief Present over usual latency; 1 while unknown.
    /// \param oldestAge Age of the oldest request that is running; zero if there is none.
    [[nodiscard]] double slowdown(Duration oldestAge) const noexcept;
    /// \brief Whether a latency is far above the usual one.
    [[nodiscard]] bool isOutlier(Duration latency) const noexcept;

private:
    double m_usual = 0; // microseconds
    double m_present = 0; // microseconds
    std::uint64_t m_samples = 0;
};

} // namespace yuccaspan::impl
