/// \file
/// \brief The latest load reports of all entry instances for one cell.
#pragma once

#include "yuccaspan/balancer.hpp"

#include <map>
#include <vector>

namespace yuccaspan::impl {

/// \brief Sums reports over instances; reports that were not renewed are passed over.
class LoadSummary
{
public:
    /// \brief Notes a report, unless a later one of the sender is known.
    void add(const InstanceId &from, const LoadReport &report, TimePoint now);
    /// \brief Load of slices and hot keys, summed over instances.
    [[nodiscard]] std::vector<SliceLoad> sliceLoads(TimePoint now) const;
    /// \brief The slowdown that more than half of the reporting instances see at the least.
    [[nodiscard]] double slowdown(const TargetId &target, TimePoint now) const;
    /// \brief For how long slowdown() has been above the limit.
    [[nodiscard]] Duration slowFor(const TargetId &target, TimePoint now) const;
    /// \brief Slots of a target that each instance would use.
    [[nodiscard]] std::map<InstanceId, double> demand(const TargetId &target, TimePoint now) const;

private:
    struct Report
    {
        LoadReport report;
        TimePoint at;
    };

    void noteSlowness(const LoadReport &report, TimePoint now);

    std::map<InstanceId, Report> m_reports;
    std::map<TargetId, TimePoint> m_slowSince;
};

} // namespace yuccaspan::impl
