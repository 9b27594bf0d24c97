#include "gateway/waiting_lane.hpp"

#include <algorithm>

namespace yuccaspan::gateway {

namespace {

/// Half ranks that a late request loses: behind the next lower priority, before the one after it.
constexpr std::uint32_t lateRankPenalty = 3;
constexpr std::uint32_t halfRanksPerPriority = 2;

std::uint32_t rank(const Urgency &urgency, TimePoint now) noexcept
{
    const std::uint32_t step = now > urgency.onTimeUntil ? lateRankPenalty : 0;
    return urgency.priority * halfRanksPerPriority + step;
}

} // namespace

bool WaitingLane::wakeOne(TimePoint now)
{
    Waiter *first = nullptr;
    for (Waiter *waiter : m_waiters) {
        if (waiter->woken())
            continue;
        if (first == nullptr || rank(waiter->urgency(), now) < rank(first->urgency(), now))
            first = waiter;
    }
    if (first == nullptr)
        return false;
    first->wake();
    return true;
}

void WaitingLane::wakeAll()
{
    for (Waiter *waiter : m_waiters) {
        if (!waiter->woken())
            waiter->wake();
    }
}

std::size_t WaitingLane::ahead(const Urgency &urgency, TimePoint now) const
{
    const std::uint32_t own = rank(urgency, now);
    return static_cast<std::size_t>(std::ranges::count_if(
        m_waiters, [&](const Waiter *waiter) { return rank(waiter->urgency(), now) <= own; }));
}

} // namespace yuccaspan::gateway
