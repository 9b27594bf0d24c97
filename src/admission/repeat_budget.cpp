#include "yuccaspan/admission.hpp"

#include <algorithm>

namespace yuccaspan {

namespace {
/// Number of first attempts whose repeats can accumulate while nothing is repeated.
constexpr double maxAccruedAttempts = 100;
/// Rounding tolerance: sums of shares such as 0.1 can fall just short of a whole repeat.
constexpr double roundingSlack = 1e-9;
} // namespace

void RepeatBudget::recordFirstAttempt() noexcept
{
    m_tokens = std::min(m_tokens + m_share, std::max(maxAccruedAttempts * m_share, 1.0));
}

bool RepeatBudget::tryConsumeRepeat() noexcept
{
    if (m_share <= 0 || m_tokens + roundingSlack < 1)
        return false;
    m_tokens -= 1;
    return true;
}

} // namespace yuccaspan
