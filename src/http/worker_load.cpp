#include "http/worker_load.hpp"

#include <utility>

namespace yuccaspan::impl {

void WorkerLoad::arrived(const CellId &cell, const KeyRange &cellRange, KeyHash hash, TimePoint now)
{
    const std::lock_guard lock(m_mutex);
    meterOf(cell, cellRange).arrived(hash, now);
}

void WorkerLoad::recordSlotTime(const CellId &cell, const KeyRange &cellRange, KeyHash hash,
                                Duration held, TimePoint now)
{
    const std::lock_guard lock(m_mutex);
    meterOf(cell, cellRange).recordSlotTime(hash, held, now);
}

LoadMeter &WorkerLoad::meterOf(const CellId &cell, const KeyRange &cellRange)
{
    return m_meters.try_emplace(cell, cellRange).first->second;
}

CellLoads WorkerLoad::report(const CellRoutesMap &routes, TimePoint now)
{
    CellLoads loads;
    const std::lock_guard lock(m_mutex);
    for (auto &[cell, meter] : m_meters) {
        const auto known = routes.find(cell);
        if (known == routes.end())
            continue;
        std::vector<KeyRange> slices;
        for (const Route &route : known->second->routes)
            slices.push_back(route.range);
        loads.emplace(cell, meter.report(slices, now));
    }
    return loads;
}

std::vector<LoadReport> sumLoads(const std::vector<CellLoads> &parts, std::uint64_t sequence)
{
    std::map<CellId, std::map<KeyRange, SliceLoad>> sums;
    for (const CellLoads &part : parts) {
        for (const auto &[cell, loads] : part) {
            for (const SliceLoad &load : loads) {
                SliceLoad &sum = sums[cell][load.range];
                sum.range = load.range;
                sum.requestsPerSecond += load.requestsPerSecond;
                sum.busySlots += load.busySlots;
            }
        }
    }
    std::vector<LoadReport> reports;
    for (const auto &[cell, loads] : sums) {
        LoadReport report{cell, sequence, {}, {}};
        for (const auto &[range, load] : loads)
            report.slices.push_back(load);
        reports.push_back(std::move(report));
    }
    return reports;
}

} // namespace yuccaspan::impl
