#include "admission/ticket_queue.hpp"

#include <iterator>

namespace yuccaspan::impl {

void TicketQueue::push(const Ticket &ticket)
{
    if (m_byId.emplace(ticket.id, ticket).second)
        m_byOrder.insert(ticket);
}

void TicketQueue::erase(std::uint64_t id)
{
    const auto found = m_byId.find(id);
    if (found == m_byId.end())
        return;
    m_byOrder.erase(found->second);
    m_byId.erase(found);
}

Ticket TicketQueue::popFirst()
{
    const Ticket first = *m_byOrder.begin();
    erase(first.id);
    return first;
}

Ticket TicketQueue::popLast()
{
    const Ticket last = *std::prev(m_byOrder.end());
    erase(last.id);
    return last;
}

std::vector<Ticket> TicketQueue::popDueBefore(TimePoint time)
{
    std::vector<Ticket> due;
    for (const Ticket &ticket : m_byOrder) {
        if (ticket.deadline < time)
            due.push_back(ticket);
    }
    for (const Ticket &ticket : due)
        erase(ticket.id);
    return due;
}

bool TicketQueue::isBeforeLast(const Ticket &ticket) const noexcept
{
    return !empty() && TicketBefore()(ticket, *std::prev(m_byOrder.end()));
}

std::size_t TicketQueue::countBefore(const Ticket &ticket) const noexcept
{
    return static_cast<std::size_t>(
        std::distance(m_byOrder.begin(), m_byOrder.lower_bound(ticket)));
}

} // namespace yuccaspan::impl
