#include "admission/slot_time_budget.hpp"

#include <algorithm>

namespace yuccaspan::impl {

namespace {
/// Slot time that can be saved up, in usual latencies.
constexpr double maxSaved = 2;
} // namespace

void SlotTimeBudget::earn(double slots, Duration usual, TimePoint now) noexcept
{
    if (now <= m_earnedUntil)
        return;
    const auto elapsed = static_cast<double>((now - m_earnedUntil).count());
    const double most = maxSaved * static_cast<double>(usual.count());
    m_balance = std::min(most, m_balance + elapsed * slots);
    m_earnedUntil = now;
}

} // namespace yuccaspan::impl
