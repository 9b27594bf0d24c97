/// \file
/// \brief Token bucket for rate limiting.
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
    /// \param perSecond Tokens added per second.
    /// \param capacity Maximum number of tokens; raised to 1 if lower.
    TokenBucket(double perSecond, double capacity) noexcept
        : m_perSecond(perSecond), m_capacity(std::max(1.0, capacity)), m_tokens(m_capacity)
    { }

    /// \brief Takes one token if there is one.
    /// \returns Whether a token was taken.
    [[nodiscard]] bool tryTake(TimePoint now) noexcept
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
