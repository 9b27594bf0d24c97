/// \file
/// \brief The queue of requests that wait for one target.
#pragma once

#include "yuccaspan/admission.hpp"

#include <cstddef>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace yuccaspan::impl {

/// \brief Orders tickets by descending worth, then by deadline, then by id.
struct TicketBefore
{
    [[nodiscard]] bool operator()(const Ticket &left, const Ticket &right) const noexcept
    {
        if (left.worth != right.worth)
            return left.worth > right.worth;
        if (left.deadline != right.deadline)
            return left.deadline < right.deadline;
        return left.id < right.id;
    }
};

/// \brief Queued tickets in the order in which they will be sent.
class TicketQueue
{
public:
    /// \name Changes
    /// @{
    /// \brief Adds a ticket.
    void push(const Ticket &ticket);
    /// \brief Removes a ticket if it is queued.
    void erase(std::uint64_t id);
    /// \brief Removes and returns the first ticket.
    /// \warning Call only if !empty().
    [[nodiscard]] Ticket popFirst();
    /// \brief Removes and returns the last ticket.
    /// \warning Call only if !empty().
    [[nodiscard]] Ticket popLast();
    /// \brief Removes and returns the tickets whose deadline is before the given time.
    [[nodiscard]] std::vector<Ticket> popDueBefore(TimePoint time);
    /// @}

    /// \name Look-up
    /// @{
    [[nodiscard]] bool empty() const noexcept { return m_byOrder.empty(); }
    [[nodiscard]] std::size_t size() const noexcept { return m_byOrder.size(); }
    /// \brief Whether the ticket would be sent before the last one in the queue.
    [[nodiscard]] bool isBeforeLast(const Ticket &ticket) const noexcept;
    /// \brief Number of tickets that would be sent before the given one.
    [[nodiscard]] std::size_t countBefore(const Ticket &ticket) const noexcept;
    /// @}

private:
    std::set<Ticket, TicketBefore> m_byOrder;
    std::unordered_map<std::uint64_t, Ticket> m_byId;
};

} // namespace yuccaspan::impl
