/// \file
/// \brief A histogram of latencies with a logarithmic axis.
#pragma once

#include "yuccaspan/clock.hpp"

#include <cstdint>
#include <memory>

namespace yuccaspan::load {

/// \brief Largest relative error of a quantile between 1 microsecond and 100 seconds.
/// Bins are one per cent wide and a quantile is the middle of its bin.
inline constexpr double maxQuantileError = 0.005;

/// \brief Counts latencies from 1 microsecond to 100 seconds; the maximum is exact.
class LatencyHistogram
{
public:
    /// \name Construction
    /// @{
    LatencyHistogram();
    LatencyHistogram(LatencyHistogram &&) noexcept;
    LatencyHistogram &operator=(LatencyHistogram &&) noexcept;
    ~LatencyHistogram();
    /// @}

    /// \brief Counts a latency.
    void add(Duration latency);
    /// \brief Adds all counts of another histogram.
    void merge(const LatencyHistogram &other);
    /// \brief Number of latencies.
    [[nodiscard]] std::uint64_t count() const noexcept { return m_count; }
    /// \brief Longest latency.
    [[nodiscard]] Duration max() const noexcept { return m_max; }
    /// \brief The latency that the given share of all does not exceed.
    /// \param share 0 to 1.
    /// \returns The latency within maxQuantileError; 0 if nothing was counted.
    [[nodiscard]] Duration quantile(double share) const;

private:
    struct Bins;

    std::unique_ptr<Bins> m_bins;
    std::uint64_t m_count = 0;
    Duration m_max{};
};

} // namespace yuccaspan::load
