#include "admission/concurrency_limit.hpp"

#include <algorithm>

namespace yuccaspan::impl {

namespace {
/// Largest surplus, as a fraction of the share.
constexpr double maxSurplus = 3;
/// Growth with each answer in time.
constexpr double growth = 0.05;
/// Factor applied with each late answer.
constexpr double decrease = 0.8;
/// An answer is late beyond this many usual latencies.
constexpr double lateFactor = 1.8;
} // namespace

void ConcurrencyLimit::answered(Duration latency, Duration usual) noexcept
{
    const auto late = static_cast<double>(usual.count()) * lateFactor;
    if (static_cast<double>(latency.count()) > late)
        m_surplus *= decrease;
    else
        m_surplus = std::min(maxSurplus, m_surplus + growth);
}

} // namespace yuccaspan::impl
