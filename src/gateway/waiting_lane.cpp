#include "gateway/waiting_lane.hpp"

#include <vector>

namespace yuccaspan::gateway {

/// Requests in the lane.
struct WaitingLane::Waiting
{
    std::vector<Waiter *> waiters;
    std::vector<Urgency> urgencies;

    void displace(const std::vector<Departure> &leaving) const
    {
        for (const Departure &departure : leaving) {
            // One that is woken already decides on itself again.
            if (!waiters[departure.index]->woken())
                waiters[departure.index]->displace(departure.retryDelay);
        }
    }
};

WaitingLane::Waiting WaitingLane::waiting(bool withWoken) const
{
    Waiting all;
    for (Waiter *waiter : m_waiters) {
        if (waiter->woken() && !withWoken)
            continue;
        all.waiters.push_back(waiter);
        all.urgencies.push_back(waiter->urgency());
    }
    return all;
}

bool WaitingLane::wakeOne(const RoomOrder &order, const Room &room)
{
    if (m_waiters.empty())
        return false;
    const Waiting all = waiting(false);
    const RoomPlan plan = order.plan(all.urgencies, room);
    all.displace(plan.leaving);
    if (plan.order.empty())
        return false;
    all.waiters[plan.order.front()]->wake();
    return true;
}

void WaitingLane::wakeAll()
{
    for (Waiter *waiter : m_waiters) {
        if (!waiter->woken())
            waiter->wake();
    }
}

Entry WaitingLane::enter(const RoomOrder &order, const Urgency &newcomer, const Room &room)
{
    const Waiting all = waiting(true);
    Entry entry = order.enter(all.urgencies, newcomer, room);
    all.displace(entry.displaced);
    return entry;
}

std::size_t WaitingLane::ahead(const RoomOrder &order, const Urgency &newcomer,
                               const Room &room) const
{
    return order.enter(waiting(true).urgencies, newcomer, room).ahead;
}

} // namespace yuccaspan::gateway
