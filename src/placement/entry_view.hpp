/// \file
/// \brief The routes of one cell at an entry instance.
#pragma once

#include "placement/context.hpp"

#include <deque>
#include <optional>
#include <vector>

namespace yuccaspan::impl {

/// \brief Replaces the routes that the changed routes overlap.
/// \param routes Routes in the order of their ranges; changed in place.
/// \param changes Changed routes; together they cover every old route that they overlap.
void overlayRoutes(std::vector<Route> &routes, const std::vector<Route> &changes);

/// \brief Routes derived from a record while no placer has been heard; moving slices are held.
[[nodiscard]] std::vector<Route> routesOfRecord(const CellRecord &record);

/// \brief Applies updates of a placer, tracks the view lease, and falls back to the record.
class EntryView
{
public:
    /// \param cell The cell.
    explicit EntryView(CellId cell);

    /// \brief Handles an update: stale ones are dropped, others are acknowledged.
    void onUpdate(Context &context, const InstanceId &from, const RouteUpdate &update,
                  TimePoint now);
    /// \brief Handles the report that no request of a held slice is in flight any longer.
    void onSliceIdle(Context &context, const KeyRange &range, FencingToken token, TimePoint now);
    /// \brief Falls back to the record if it is newer than the last update of a placer.
    void onRecordObserved(Context &context, const CellRecord &record, TimePoint now);
    /// \brief The highest term received from a placer.
    [[nodiscard]] Term term() const noexcept { return m_term; }
    /// \brief The placer that sent the last update, or an empty id.
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
    void removeStaleIdle();

    CellId m_cell;
    InstanceId m_placer;
    KeyRange m_range;
    Term m_term;
    std::uint64_t m_sequence = 0;
    std::uint64_t m_highestSequence = 0;
    std::uint64_t m_leaseSequence = 0;
    std::uint64_t m_ackSequence = 0;
    TimePoint m_leaseEnd;
    TimePoint m_lastUpdateAt;
    std::deque<SentAck> m_acks;
    std::vector<Route> m_routes;
    std::vector<GrantedSlice> m_idle;
};

} // namespace yuccaspan::impl
