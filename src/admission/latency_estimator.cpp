#include "admission/latency_estimator.hpp"

#include <algorithm>

namespace yuccaspan::impl {

namespace {
/// Number of samples averaged with equal weight at the start.
constexpr std::uint64_t warmupSamples = 16;
/// Weight of a sample in the baseline.
constexpr double baselineWeight = 0.005;
/// Weight of a sample in the current latency.
constexpr double currentWeight = 0.15;
/// A latency above this multiple of the baseline is an outlier.
constexpr double outlierFactor = 5;
/// The age of a request in flight indicates slowness only above this multiple of the baseline.
constexpr double ageFactor = 6;

[[nodiscard]] Duration fromMicros(double micros) noexcept
{
    return Duration(static_cast<Duration::rep>(micros));
}
} // namespace

void LatencyEstimator::answered(Duration latency) noexcept
{
    const auto sample = static_cast<double>(latency.count());
    ++m_samples;
    if (m_samples <= warmupSamples) {
        m_baseline += (sample - m_baseline) / static_cast<double>(m_samples);
        m_current = m_baseline;
        return;
    }
    // An outlier counts as one baseline latency, so that it leaves the baseline unchanged.
    const double clipped = isOutlier(latency) ? m_baseline : sample;
    const bool slow = m_current > 2 * m_baseline;
    m_baseline +=
        baselineWeight * (slow ? std::min(0.0, clipped - m_baseline) : clipped - m_baseline);
    m_current += currentWeight * (sample - m_current);
}

void LatencyEstimator::restart() noexcept
{
    m_current = m_baseline;
}

Duration LatencyEstimator::baseline() const noexcept
{
    return fromMicros(m_baseline);
}

Duration LatencyEstimator::current() const noexcept
{
    return fromMicros(m_current);
}

double LatencyEstimator::slowdown(Duration oldestAge) const noexcept
{
    if (m_samples < warmupSamples || m_baseline <= 0)
        return 1;
    const double byAnswers = m_current / m_baseline;
    const double age = static_cast<double>(oldestAge.count()) / m_baseline;
    const double byAge = age > ageFactor ? age / 2 : 1;
    return std::max({1.0, byAnswers, byAge});
}

bool LatencyEstimator::isOutlier(Duration latency) const noexcept
{
    return m_samples >= warmupSamples
        && static_cast<double>(latency.count()) > outlierFactor * m_baseline;
}

} // namespace yuccaspan::impl
