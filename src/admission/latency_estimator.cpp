#include "admission/latency_estimator.hpp"

#include <algorithm>

namespace yuccaspan::impl {

namespace {
/// Samples of the plain mean with which an estimate begins.
constexpr std::uint64_t firstSamples = 16;
/// Weight of a sample in the usual latency.
constexpr double usualWeight = 0.005;
/// Weight of a sample in the present latency.
constexpr double presentWeight = 0.15;
/// A latency this many times the usual one is an outlier.
constexpr double outlierFactor = 5;
/// The age of a running request counts as slowness only beyond this many usual latencies.
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
    if (m_samples <= firstSamples) {
        m_usual += (sample - m_usual) / static_cast<double>(m_samples);
        m_present = m_usual;
        return;
    }
    // An outlier counts as one usual latency: it neither raises nor lowers the estimate.
    const double clipped = isOutlier(latency) ? m_usual : sample;
    const bool slow = m_present > 2 * m_usual;
    m_usual += usualWeight * (slow ? std::min(0.0, clipped - m_usual) : clipped - m_usual);
    m_present += presentWeight * (sample - m_present);
}

void LatencyEstimator::restart() noexcept
{
    m_present = m_usual;
}

Duration LatencyEstimator::usual() const noexcept
{
    return fromMicros(m_usual);
}

Duration LatencyEstimator::present() const noexcept
{
    return fromMicros(m_present);
}

double LatencyEstimator::slowdown(Duration oldestAge) const noexcept
{
    if (m_samples < firstSamples || m_usual <= 0)
        return 1;
    const double byAnswers = m_present / m_usual;
    const double age = static_cast<double>(oldestAge.count()) / m_usual;
    const double byAge = age > ageFactor ? age / 2 : 1;
    return std::max({1.0, byAnswers, byAge});
}

bool LatencyEstimator::isOutlier(Duration latency) const noexcept
{
    return m_samples >= firstSamples
        && static_cast<double>(latency.count()) > outlierFactor * m_usual;
}

} // namespace yuccaspan::impl
