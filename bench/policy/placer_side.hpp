/// \file
/// \brief The placers of a service's cells, with the library's balancer and capacity shares.
///
/// Ownership itself is not simulated: a move closes a slice for two link round trips and until its
/// requests in flight have ended, or, off a target that is lost, until its grant has lapsed.
#pragma once

#include "entry_side.hpp"
#include "slice_table.hpp"

#include "health/slowness_tracker.hpp"
#include "yuccaspan/balancer.hpp"

#include <memory>
#include <vector>

namespace yuccaspan::bench {

/// \brief One placer for each cell.
class PlacerSide
{
public:
    /// \brief Creates the cells and schedules the placers' work.
    void begin(PolicyHost &host, SliceTable &table, EntrySide &entries);
    /// \brief Does the work that was scheduled under a tag.
    void wake(std::uint64_t tag);

private:
    struct Cell
    {
        std::unique_ptr<Balancer> balancer;
        std::map<KeyRange, SliceLoad> loads;
        std::uint32_t movesUnderWay = 0;
        TimePoint plannedAt;
    };
    struct TargetView
    {
        TimePoint renewedAt;
        std::string startId;
        TimePoint startSeenAt;
        TargetState state = TargetState::Warm;
        bool restarted = false; ///< Its grants of before are known to be void.
    };
    struct Move
    {
        std::size_t cell = 0;
        KeyRange range;
        TimePoint closedAt;
        bool planned = true;
    };

    void renew();
    void collectReports();
    void handOutShares();
    void planCell(std::size_t cell);
    void carryOut(std::size_t cell, const PlannedChange &change);
    void startMove(std::size_t cell, const PlannedMove &move);
    void finishMove(std::size_t index);
    [[nodiscard]] bool isAlive(std::uint32_t entry) const;
    [[nodiscard]] bool isAnswering(std::uint32_t target) const;
    [[nodiscard]] std::vector<BalanceTarget> balanceTargets(std::size_t cell);
    [[nodiscard]] std::vector<double> loadByTarget(std::size_t exceptCell) const;
    [[nodiscard]] std::uint32_t zoneOf(std::size_t cell) const;

    PolicyHost *m_host = nullptr;
    SliceTable *m_table = nullptr;
    EntrySide *m_entries = nullptr;
    std::vector<Cell> m_cells;
    std::vector<TargetView> m_views;
    std::vector<Move> m_moves;
    impl::SlownessTracker m_slowness;
};

} // namespace yuccaspan::bench
