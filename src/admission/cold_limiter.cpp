#include "admission/cold_limiter.hpp"

#include <algorithm>

namespace yuccaspan::impl {

namespace {
/// Time in which the fraction grows from nothing to 1 after a start.
constexpr Duration growthTime = std::chrono::seconds(12);
/// Largest fraction while the target calls itself cold or is in doubt.
constexpr double mostWhileCold = 0.99;
/// Longest time between two good signs that counts as growth.
constexpr Duration longestCredit = std::chrono::milliseconds(1500);
} // namespace

bool ColdLimiter::sawTarget(const std::string &startId, TargetState state, TimePoint now)
{
    const bool first = m_startId.empty();
    const bool restarted = !first && startId != m_startId;
    const bool turnedCold = state == TargetState::Cold && m_state != TargetState::Cold;
    m_startId = startId;
    m_state = state;
    if (restarted || turnedCold) {
        m_started = true;
        collapse(now);
        return true;
    }
    if (!m_started && state == TargetState::Warm)
        m_fraction = 1;
    grow(now);
    return false;
}

void ColdLimiter::answeredInTime(TimePoint now) noexcept
{
    grow(now);
}

void ColdLimiter::trouble(TimePoint now) noexcept
{
    collapse(now);
}

void ColdLimiter::grow(TimePoint now) noexcept
{
    if (!isCold())
        return;
    const Duration credit = std::clamp(now - m_lastGoodSign, Duration(0), longestCredit);
    m_lastGoodSign = std::max(m_lastGoodSign, now);
    const double step =
        static_cast<double>(credit.count()) / static_cast<double>(growthTime.count());
    const double most = m_state == TargetState::Cold ? mostWhileCold : 1.0;
    m_fraction = std::min(most, m_fraction + step);
    m_started = m_started && isCold();
}

void ColdLimiter::collapse(TimePoint now) noexcept
{
    m_fraction = std::min(m_coldAllowance, mostWhileCold);
    m_lastGoodSign = now;
}

} // namespace yuccaspan::impl
