#include "admission/cold_limiter.hpp"

#include <algorithm>

namespace yuccaspan::impl {

namespace {
/// Time in which the fraction grows from nothing to 1 while the target calls itself cold.
constexpr Duration coldGrowthTime = std::chrono::seconds(20);
/// The same once the target calls itself warm, which may be wrong.
constexpr Duration warmGrowthTime = std::chrono::seconds(4);
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
        collapse(now);
        return true;
    }
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
    const Duration whole = m_state == TargetState::Cold ? coldGrowthTime : warmGrowthTime;
    const double step = static_cast<double>(credit.count()) / static_cast<double>(whole.count());
    const double most = m_state == TargetState::Cold ? 0.99 : 1.0;
    m_fraction = std::min(most, m_fraction + step);
}

void ColdLimiter::collapse(TimePoint now) noexcept
{
    m_fraction = std::min(m_coldAllowance, 0.99);
    m_lastGoodSign = now;
}

} // namespace yuccaspan::impl
