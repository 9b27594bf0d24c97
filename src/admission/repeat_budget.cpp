#include "yuccaspan/admission.hpp"

#include <algorithm>

namespace yuccaspan {

namespace {
/// First tries whose repeats can be saved up while nothing is repeated.
constexpr double maxSavedTries = 100;
/// Sums of shares such as 0.1 fall just short of a whole repeat.
constexpr double roundingSlack = 1e-9;
} // namespace

void RepeatBudget::firstTry() noexcept
{
    m_tokens = std::min(m_tokens + m_share, std::max(maxSavedTries * m_share, 1.0));
}

bool RepeatBudget::takeRepeat() noexcept
{
    if (m_share <= 0 || m_tokens + roundingSlack < 1)
        return false;
    m_tokens -= 1;
    return true;
}

} // namespace yuccaspan
