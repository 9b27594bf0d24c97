/// \file
/// \brief Limits the rate of calls.
#pragma once

#include "yuccaspan/clock.hpp"

#include <algorithm>
#include <chrono>

namespace yuccaspan::impl {

/// \brief A token bucket. Starts full.
class TokenBucket
{
public:
    /// \brief Creates a full bucket.
    /// \param perSecond Tokens added in a second.
    /// \param capacity Most tokens held; at least one.
    TokenBucket(double perSecond, double capacity) noexcept
        : m_perSecond(perSecond), m_capacity(std::max(1.0, capacity)), m_tokens(m_capacity)
    { }

    /// \brief Takes one token.
    /// \returns Whether there was one.
    [[nodiscard]] bool take(TimePoint now) noexcept
    {
        if (m_last == TimePoint{})
            m_last = now;
        const double seconds = std::chrono::duration<double>(now - m_last).count();
        m_tokens = std::min(m_capacity, m_tokens + std::max(0.0, seconds) * m_perSecond);
        m_last = std::max(m_last, now);
        if (m_tokens < 1)
            return false;
        m_tokens -= 1;
        return true;
    }

private:
    double m_perSecond;
    double m_capacity;
    double m_tokens;
    TimePoint m_last{};
};

} // namespace yuccaspan::impl
