/// \file
/// \brief Reference implementation of a cell's routes: stores all states; the latest wins.
#pragma once

#include "yuccaspan/peer_message.hpp"

#include <algorithm>
#include <map>
#include <utility>
#include <vector>

namespace yuccaspan::naive {

/// \brief All states published by placers, and the routes and lease that an entry should derive.
class PlacementRoutes
{
public:
    using Version = std::pair<Term, std::uint64_t>;

    void published(Term term, std::uint64_t sequence, std::vector<Route> routes)
    {
        m_states[{term, sequence}] = std::move(routes);
    }
    void acknowledged(std::uint64_t ackSequence, TimePoint sentAt) { m_acks[ackSequence] = sentAt; }
    void delivered(const RouteUpdate &update)
    {
        const Version version{update.term, update.sequence};
        if (version < m_present)
            return;
        m_present = version;
        const auto ack = m_acks.find(update.echoSequence);
        if (ack != m_acks.end() && update.viewLease > Duration::zero())
            m_leaseEnd = std::max(m_leaseEnd, ack->second + update.viewLease);
    }
    [[nodiscard]] const Version &present() const { return m_present; }
    [[nodiscard]] const std::vector<Route> &routes() { return m_states[m_present]; }
    [[nodiscard]] TimePoint leaseEnd() const { return m_leaseEnd; }

private:
    std::map<Version, std::vector<Route>> m_states;
    std::map<std::uint64_t, TimePoint> m_acks;
    Version m_present;
    TimePoint m_leaseEnd;
};

} // namespace yuccaspan::naive
