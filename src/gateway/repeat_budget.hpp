/// \file
/// \brief Retry budget that is shared by all instances.
#pragma once

#include <algorithm>
#include <cstdint>

namespace yuccaspan::gateway {

/// \brief This instance's share of a service's retry budget.
///
/// Prevents retry storms, in which many requests fail at once and retries add to the load. Over any
/// period the retries of all instances stay within the ratio of the requests plus the slack: each
/// instance earns tokens by its own requests and holds its share of the slack.
class RepeatBudget
{
public:
    /// \brief Sets the limits.
    /// \param ratio Retries per request, for all instances together.
    /// \param slack Further retries, for all instances together.
    /// \param instances Instances that share it.
    void configure(double ratio, double slack, std::uint32_t instances) noexcept
    {
        // The rest is a reserve: instances join, and requests in flight are counted by others.
        constexpr double usedFraction = 0.6;
        m_ratio = ratio * usedFraction;
        m_maxTokens = std::max(1.0, slack * usedFraction / std::max(instances, 1U));
        if (!m_started)
            m_tokens = m_maxTokens;
        m_started = true;
        m_tokens = std::min(m_tokens, m_maxTokens);
    }
    /// \brief Counts a new request, which earns a part of a retry.
    void first() noexcept { m_tokens = std::min(m_maxTokens, m_tokens + m_ratio); }
    /// \brief Takes one retry.
    /// \returns Whether the budget allowed it.
    [[nodiscard]] bool take() noexcept
    {
        if (m_tokens < 1.0)
            return false;
        m_tokens -= 1.0;
        return true;
    }

private:
    double m_ratio = 0;
    double m_maxTokens = 1;
    double m_tokens = 0;
    bool m_started = false;
};

} // namespace yuccaspan::gateway
