#include "admission/slot_time_budget.hpp"

#include <algorithm>

namespace yuccaspan::impl {

namespace {
/// Maximum accrued slot time, as a multiple of the baseline latency.
constexpr double maxAccrued = 2;
} // namespace

void SlotTimeBudget::accrue(double slots, Duration baseline, TimePoint now) noexcept
{
    if (now <= m_accruedUntil)
        return;
    const auto elapsed = static_cast<double>((now - m_accruedUntil).count());
    const double most = maxAccrued * static_cast<double>(baseline.count());
    m_balance = std::min(most, m_balance + elapsed * slots);
    m_accruedUntil = now;
}

} // namespace yuccaspan::impl
