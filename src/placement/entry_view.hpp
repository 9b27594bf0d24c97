/// \file
/// \brief The routes of one cell as an entry instance holds them.
#pragma once

#include "placement/context.hpp"

#include <deque>
#include <optional>
#include <vector>

namespace yuccaspan::impl {

/// \brief Puts changed routes in place of those that they overlap.
/// \param routes Routes in the order of their ranges; changed in place.
/// \param changes Changed routes, which together cover every old route that they touch.
void overlayRoutes(std::vector<Route> &routes, const std::vector<Route> &changes);

/// \brief Routes of a record, for when no placer was heard: slices that move are held.
[[nodiscard]] std::vector<Route> routesOfRecord(const CellRecord &record);

/// \brief Applies the updates of a placer, keeps the view lease, and falls back to the record.
class EntryView
{
public:
    /// \param cell The cell.
    explicit EntryView(CellId cell);

    /// \brief An update arrived. Older ones are dropped; others are acknowledged.
    void updated(Context &context, const InstanceId &from, const RouteUpdate &update,
                 TimePoint now);
    /// \brief The data path has no request of a held slice in flight any more.
    void becameIdle(Context &context, const KeyRange &range, FencingToken token, TimePoint now);
    /// \brief Falls back to the record if it is newer than what placers said.
    void observedRecord(Context &context, const CellRecord &record, TimePoint now);
    /// \brief The highest term heard of from a placer.
    [[nodiscard]] Term term() const noexcept { return m_term; }
    /// \brief The placer that was heard last, or an empty id.
    [[nodiscard]] const InstanceId &placer() const noexcept { return m_placer; }

private:
    struct SentAck
    {
        std::uint64_t sequence = 0;
        TimePoint sentAt;
    };

    [[nodiscard]] bool apply(const RouteUpdate &update);
    void extendLease(const Context &context, const RouteUpdate &update, TimePoint now);
    void acknowledge(Context &context, TimePoint now);
    void publish(Context &context);
    void keepIdle();

    CellId m_cell;
    InstanceId m_placer;
    KeyRange m_range;
    Term m_term;
    std::uint64_t m_sequence = 0;
    std::uint64_t m_highestSequence = 0;
    std::uint64_t m_leaseSequence = 0;
    std::uint64_t m_ackSequence = 0;
    TimePoint m_leaseEnd;
    TimePoint m_heardAt;
    std::deque<SentAck> m_acks;
    std::vector<Route> m_routes;
    std::vector<GrantedSlice> m_idle;
};

} // namespace yuccaspan::impl
