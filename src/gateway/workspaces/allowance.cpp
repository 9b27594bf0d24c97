#include "gateway/workspaces/allowance.hpp"

#include <algorithm>

namespace yuccaspan::gateway {

double Allowance::capacity() const noexcept
{
    return m_limit.burst * m_part;
}

void Allowance::configure(const AllowanceLimit &limit, double part, TimePoint now) noexcept
{
    if (m_started)
        refill(now);
    m_limit = limit;
    m_part = part;
    if (!m_started)
        m_tokens = limit.burst * part;
    m_started = true;
    m_filledAt = now;
    m_tokens = std::min(m_tokens, capacity());
}

void Allowance::refill(TimePoint now) noexcept
{
    const double seconds = std::chrono::duration<double>(now - m_filledAt).count();
    m_tokens = std::min(capacity(), m_tokens + std::max(seconds, 0.0) * m_limit.perSecond * m_part);
    m_filledAt = now;
}

Duration Allowance::take(TimePoint now) noexcept
{
    if (m_limit.perSecond <= 0)
        return Duration::zero();
    refill(now);
    if (m_tokens >= 1) {
        m_tokens -= 1;
        return Duration::zero();
    }
    const double seconds = (1 - m_tokens) / std::max(m_limit.perSecond * m_part, 1e-3);
    return std::max(Duration(1),
                    std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds)));
}

} // namespace yuccaspan::gateway
