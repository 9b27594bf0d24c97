#include "admission/concurrency_limit.hpp"

#include <algorithm>

namespace yuccaspan::impl {

namespace {
/// Largest surplus, as a fraction of the share.
constexpr double maxSurplus = 3;
/// Increase per answer in time.
constexpr double growth = 0.05;
/// Factor applied per late answer.
constexpr double decrease = 0.8;
/// An answer is late above this multiple of the baseline latency.
constexpr double lateFactor = 1.8;
} // namespace

void ConcurrencyLimit::answered(Duration latency, Duration baseline) noexcept
{
    const auto late = static_cast<double>(baseline.count()) * lateFactor;
    if (static_cast<double>(latency.count()) > late)
        m_surplus *= decrease;
    else
        m_surplus = std::min(maxSurplus, m_surplus + growth);
}

} // namespace yuccaspan::impl
