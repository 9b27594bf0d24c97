/// \file
/// \brief A budget for sending requests again that holds for all instances together.
#pragma once

#include <algorithm>
#include <cstdint>

namespace yuccaspan::gateway {

/// \brief This instance's part of a service's repeat budget.
///
/// Answers the load pattern in which many requests fail at once and repeats add to the load. Over
/// any window the repeats of all instances stay within the part of the requests and the slack: each
/// instance earns by its own requests and holds its part of the slack.
class RepeatBudget
{
public:
    /// \brief A budget.
    /// \param ratio Repeats for each request, for all instances together.
    /// \param slack Repeats beyond that, for all instances together.
    /// \param instances Instances that share it.
    void configure(double ratio, double slack, std::uint32_t instances) noexcept
    {
        // A part is left unused: instances join, and requests in flight are counted elsewhere.
        constexpr double usedPart = 0.6;
        m_ratio = ratio * usedPart;
        m_most = std::max(1.0, slack * usedPart / std::max(instances, 1U));
        if (!m_started)
            m_tokens = m_most;
        m_started = true;
        m_tokens = std::min(m_tokens, m_most);
    }
    /// \brief Counts a request's first sending.
    void first() noexcept { m_tokens = std::min(m_most, m_tokens + m_ratio); }
    /// \brief Takes a repeat, if there is one.
    [[nodiscard]] bool take() noexcept
    {
        if (m_tokens < 1.0)
            return false;
        m_tokens -= 1.0;
        return true;
    }

private:
    double m_ratio = 0;
    double m_most = 1;
    double m_tokens = 0;
    bool m_started = false;
};

} // namespace yuccaspan::gateway
