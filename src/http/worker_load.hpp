/// \file
/// \brief Load of the cells as measured by one thread of the data path.
#pragma once

#include "yuccaspan/cell_record.hpp"
#include "yuccaspan/clock.hpp"
#include "yuccaspan/load_meter.hpp"
#include "yuccaspan/peer_message.hpp"
#include "yuccaspan/route_table.hpp"

#include <map>
#include <memory>
#include <mutex>
#include <vector>

namespace yuccaspan::impl {

/// \brief Routes by cell.
using CellRoutesMap = std::map<CellId, std::shared_ptr<const CellRoutes>>;

/// \brief Loads of slices and hot keys by cell.
using CellLoads = std::map<CellId, std::vector<SliceLoad>>;

/// \brief One load meter per cell. Written by its worker, read by the control thread.
class WorkerLoad
{
public:
    /// \brief Counts an arrived request for a key of the cell.
    void arrived(const CellId &cell, const KeyRange &cellRange, KeyHash hash, TimePoint now);
    /// \brief Adds the time for which a request held a slot of its target.
    void recordSlotTime(const CellId &cell, const KeyRange &cellRange, KeyHash hash, Duration held,
                        TimePoint now);
    /// \brief Returns the load of the slices of each cell and of the hot keys in them.
    [[nodiscard]] CellLoads report(const CellRoutesMap &routes, TimePoint now);

private:
    [[nodiscard]] LoadMeter &meterOf(const CellId &cell, const KeyRange &cellRange);

    std::mutex m_mutex;
    std::map<CellId, LoadMeter> m_meters;
};

/// \brief Sums the loads measured by the workers into one report per cell.
/// \param parts Loads by worker.
/// \param sequence Sequence number of the reports.
[[nodiscard]] std::vector<LoadReport> sumLoads(const std::vector<CellLoads> &parts,
                                               std::uint64_t sequence);

} // namespace yuccaspan::impl
