/// \file
/// \brief Estimates the baseline and the current latency of one target from an instance's own
/// requests.
#pragma once

#include "yuccaspan/clock.hpp"

#include <cstdint>

namespace yuccaspan::impl {

/// \brief Two exponential moving averages of latency; their ratio is the slowdown.
///
/// The slow average is the baseline. Samples far above it are outliers and barely raise it, so that
/// a slow period does not become the baseline within minutes.
class LatencyEstimator
{
public:
    /// \brief Records an answer.
    void answered(Duration latency) noexcept;
    /// \brief Resets the current latency to the baseline, for example after a restart.
    void restart() noexcept;

    /// \brief Baseline latency; zero while unknown.
    [[nodiscard]] Duration baseline() const noexcept;
    /// \brief Current latency; zero while unknown.
    [[nodiscard]] Duration current() const noexcept;
    /// \brief Ratio of current to baseline latency; 1 while unknown.
    /// \param oldestAge Age of the oldest request in flight; zero if there is none.
    [[nodiscard]] double slowdown(Duration oldestAge) const noexcept;
    /// \brief Whether a latency is far above the baseline.
    [[nodiscard]] bool isOutlier(Duration latency) const noexcept;

private:
    double m_baseline = 0; // microseconds
    double m_current = 0; // microseconds
    std::uint64_t m_samples = 0;
};

} // namespace yuccaspan::impl
