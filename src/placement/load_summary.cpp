#include "placement/load_summary.hpp"

#include <algorithm>

namespace yuccaspan::impl {

namespace {
constexpr Duration reportLifetime = std::chrono::seconds(3);
/// Slowdown above which a target counts as slow.
constexpr double slowdownThreshold = 1.5;
} // namespace

void LoadSummary::add(const InstanceId &from, const LoadReport &report, TimePoint now)
{
    Report &latest = m_reports[from];
    if (report.sequence <= latest.report.sequence && now - latest.at < reportLifetime)
        return;
    latest = {report, now};
    updateSlowTargets(report, now);
}

void LoadSummary::updateSlowTargets(const LoadReport &report, TimePoint now)
{
    for (const TargetObservation &observation : report.targets) {
        if (slowdown(observation.target, now) > slowdownThreshold)
            m_slowSince.try_emplace(observation.target, now);
        else
            m_slowSince.erase(observation.target);
    }
}

std::vector<SliceLoad> LoadSummary::sliceLoads(TimePoint now) const
{
    std::map<KeyRange, SliceLoad> sums;
    for (const auto &[from, latest] : m_reports) {
        if (now - latest.at >= reportLifetime)
            continue;
        for (const SliceLoad &load : latest.report.slices) {
            SliceLoad &sum = sums[load.range];
            sum.range = load.range;
            sum.requestsPerSecond += load.requestsPerSecond;
            sum.busySlots += load.busySlots;
        }
    }
    std::vector<SliceLoad> loads;
    loads.reserve(sums.size());
    for (const auto &[range, sum] : sums)
        loads.push_back(sum);
    return loads;
}

double LoadSummary::slowdown(const TargetId &target, TimePoint now) const
{
    std::vector<double> slowdowns;
    for (const auto &[from, latest] : m_reports) {
        const auto found =
            std::ranges::find(latest.report.targets, target, &TargetObservation::target);
        if (now - latest.at < reportLifetime && found != latest.report.targets.end())
            slowdowns.push_back(found->slowdown);
    }
    if (slowdowns.empty())
        return 1;
    std::ranges::sort(slowdowns);
    return slowdowns[(slowdowns.size() - 1) / 2];
}

Duration LoadSummary::slowFor(const TargetId &target, TimePoint now) const
{
    const auto since = m_slowSince.find(target);
    return since == m_slowSince.end() ? Duration::zero() : now - since->second;
}

std::map<InstanceId, double> LoadSummary::demand(const TargetId &target, TimePoint now) const
{
    std::map<InstanceId, double> slots;
    for (const auto &[from, latest] : m_reports) {
        const auto found =
            std::ranges::find(latest.report.targets, target, &TargetObservation::target);
        if (now - latest.at < reportLifetime && found != latest.report.targets.end())
            slots[from] = found->demandSlots;
    }
    return slots;
}

} // namespace yuccaspan::impl
