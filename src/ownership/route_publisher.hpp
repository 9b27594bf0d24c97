/// \file
/// \brief Sends the routes of one cell to all entry instances and renews their view leases.
#pragma once

#include "placement/context.hpp"

#include <map>
#include <vector>

namespace yuccaspan::impl {

/// \brief Routes of one cell in one term, and what each entry instance has acknowledged.
class RoutePublisher
{
public:
    /// \param cell The cell.
    /// \param range Its range.
    /// \param term The placer's term.
    RoutePublisher(CellId cell, KeyRange range, Term term);

    /// \brief Replaces the routes; increments the sequence if any route changed.
    void setRoutes(std::vector<Route> routes);
    /// \brief Sequence of the current routes.
    [[nodiscard]] std::uint64_t sequence() const noexcept { return m_sequence; }
    /// \brief Sets the capacity shares that are sent to an instance.
    void setShares(const InstanceId &entry, std::vector<CapacityShare> shares);
    /// \brief Handles an acknowledgement of an entry instance.
    /// \returns Whether the routes in force or the idle slices of the instance changed.
    bool onAcknowledged(const InstanceId &entry, const RouteAck &ack, TimePoint now);
    /// \brief Sends the updates that are due.
    /// \param context Receives the actions; updates go to its live members.
    /// \param authorityUntil Latest expiry of any view lease.
    /// \param now The current time.
    void step(Context &context, TimePoint authorityUntil, TimePoint now);
    /// \brief Whether no entry instance can send requests for a slice any longer.
    /// \param context Members.
    /// \param range The slice.
    /// \param since First sequence in which the slice is held.
    /// \param now The current time.
    /// \param waitForLeases If false, instances that are not alive are ignored; if true, the view
    /// lease of an instance that has not confirmed must have expired.
    /// \returns True once each relevant instance has reported the slice idle or lost its view
    /// lease.
    [[nodiscard]] bool isIdleEverywhere(const Context &context, const KeyRange &range,
                                        std::uint64_t since, bool waitForLeases,
                                        TimePoint now) const;

private:
    struct Published
    {
        Route route;
        std::uint64_t changedAt = 0;
    };
    struct Entry
    {
        std::uint64_t acked = 0;
        std::uint64_t sentSequence = 0;
        std::uint64_t leaseSequence = 0;
        std::uint64_t echo = 0;
        TimePoint echoAt;
        TimePoint sentAt;
        TimePoint leaseBound;
        std::vector<KeyRange> idle;
        std::vector<CapacityShare> shares;
    };

    void send(Context &context, const InstanceId &to, Entry &entry, TimePoint authorityUntil,
              TimePoint now);
    [[nodiscard]] Duration leaseFor(const Context &context, const Entry &entry,
                                    TimePoint authorityUntil) const;
    [[nodiscard]] bool isDue(const Context &context, const Entry &entry, TimePoint now) const;

    CellId m_cell;
    KeyRange m_range;
    Term m_term;
    std::uint64_t m_sequence = 0;
    std::vector<Published> m_routes;
    std::map<InstanceId, Entry> m_entries;
};

} // namespace yuccaspan::impl
