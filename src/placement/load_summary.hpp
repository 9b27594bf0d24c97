/// \file
/// \brief The latest load reports of all entry instances for one cell.
#pragma once

#include "yuccaspan/balancer.hpp"

#include <map>
#include <vector>

namespace yuccaspan::impl {

/// \brief Aggregates reports over instances; stale reports are ignored.
class LoadSummary
{
public:
    /// \brief Stores a report, unless a later one of the sender is known.
    void add(const InstanceId &from, const LoadReport &report, TimePoint now);
    /// \brief Load of slices and hot keys, summed over instances.
    [[nodiscard]] std::vector<SliceLoad> sliceLoads(TimePoint now) const;
    /// \brief The minimum slowdown seen by more than half of the reporting instances.
    [[nodiscard]] double slowdown(const TargetId &target, TimePoint now) const;
    /// \brief How long slowdown() has been above the threshold.
    [[nodiscard]] Duration slowFor(const TargetId &target, TimePoint now) const;
    /// \brief Slots of a target that each instance would use.
    [[nodiscard]] std::map<InstanceId, double> demand(const TargetId &target, TimePoint now) const;

private:
    struct Report
    {
        LoadReport report;
        TimePoint at;
    };

    void updateSlowTargets(const LoadReport &report, TimePoint now);

    std::map<InstanceId, Report> m_reports;
    std::map<TargetId, TimePoint> m_slowSince;
};

} // namespace yuccaspan::impl
