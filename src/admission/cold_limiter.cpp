#include "admission/cold_limiter.hpp"

#include <algorithm>

namespace yuccaspan::impl {

namespace {
/// Time in which the fraction grows from 0 to 1 after a start.
constexpr Duration growthTime = std::chrono::seconds(12);
/// Maximum fraction while the target reports cold or may have restarted.
constexpr double maxColdFraction = 0.99;
/// Maximum time between two answers in time that is credited as growth.
constexpr Duration maxGrowthCredit = std::chrono::milliseconds(1500);
} // namespace

bool ColdLimiter::recordTargetState(const std::string &startId, TargetState state, TimePoint now)
{
    const bool first = m_startId.empty();
    const bool restarted = !first && startId != m_startId;
    const bool turnedCold = state == TargetState::Cold && m_state != TargetState::Cold;
    m_startId = startId;
    m_state = state;
    if (restarted || turnedCold) {
        m_started = true;
        resetFraction(now);
        return true;
    }
    if (!m_started && state == TargetState::Warm)
        m_fraction = 1;
    grow(now);
    return false;
}

void ColdLimiter::recordSuccess(TimePoint now) noexcept
{
    grow(now);
}

void ColdLimiter::recordFailure(TimePoint now) noexcept
{
    resetFraction(now);
}

void ColdLimiter::grow(TimePoint now) noexcept
{
    if (!isCold())
        return;
    const Duration credit = std::clamp(now - m_lastSuccess, Duration(0), maxGrowthCredit);
    m_lastSuccess = std::max(m_lastSuccess, now);
    const double step =
        static_cast<double>(credit.count()) / static_cast<double>(growthTime.count());
    const double most = m_state == TargetState::Cold ? maxColdFraction : 1.0;
    m_fraction = std::min(most, m_fraction + step);
    m_started = m_started && isCold();
}

void ColdLimiter::resetFraction(TimePoint now) noexcept
{
    m_fraction = std::min(m_coldAllowance, maxColdFraction);
    m_lastSuccess = now;
}

} // namespace yuccaspan::impl
