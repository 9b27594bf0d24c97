#include "placement_policy/capacity_tracker.hpp"

#include <algorithm>

namespace yuccaspan::impl {

namespace {
/// Fraction of its capacity that a target gets while it starts.
constexpr double coldFraction = 0.1;
/// Minimum time that a target counts as starting, the same as in the target gates.
constexpr Duration minColdTime = std::chrono::seconds(12);
/// Time over which the load of a started target is raised from zero to full.
constexpr Duration warmUpTime = std::chrono::seconds(4);
/// A target is slow if its slowdown exceeds the median by this factor.
constexpr double slowThreshold = 2.5;
/// Time that a target must be slow before slices are moved away.
constexpr Duration minSlowTime = std::chrono::milliseconds(200);
/// Probation: time that a recovered target still counts as slow; doubles with each relapse.
constexpr Duration initialProbation = std::chrono::seconds(10);
/// Upper limit of the probation.
constexpr Duration maxProbation = std::chrono::seconds(160);
/// After this long without slowness, the next probation is the initial one.
constexpr Duration relapseWindow = std::chrono::seconds(120);
constexpr std::size_t half = 2;
} // namespace

std::vector<double> CapacityTracker::update(const std::vector<BalanceTarget> &targets,
                                            TimePoint now)
{
    std::vector<double> capacity;
    const double median = medianSlowdown(targets);
    for (const BalanceTarget &target : targets) {
        History &history = m_history[target.id];
        updateWarmUp(history, target, now);
        updateSlowness(history, target, median, now);
        history.known = true;
        history.updated = now;
        capacity.push_back(target.capacity * history.warmUpFraction);
    }
    return capacity;
}

bool CapacityTracker::isSlow(const TargetId &target) const
{
    const auto found = m_history.find(target);
    return found != m_history.end() && found->second.slow;
}

bool CapacityTracker::isCold(const TargetId &target) const
{
    const auto found = m_history.find(target);
    return found != m_history.end() && found->second.cold;
}

void CapacityTracker::updateWarmUp(History &history, const BalanceTarget &target, TimePoint now)
{
    const bool becameCold = target.cold && !history.cold;
    if (becameCold)
        history.coldUntil = now + minColdTime;
    if (target.cold || now < history.coldUntil) {
        history.warmUpFraction = coldFraction;
        history.cold = true;
        return;
    }
    history.cold = false;
    if (!history.known || history.warmUpFraction >= 1)
        return;
    const auto elapsed = static_cast<double>((now - history.updated).count());
    const double step = elapsed / static_cast<double>(warmUpTime.count());
    history.warmUpFraction = std::min(1.0, history.warmUpFraction + std::max(0.0, step));
}

void CapacityTracker::updateSlowness(History &history, const BalanceTarget &target, double median,
                                     TimePoint now)
{
    if (target.slowdown > slowThreshold * median && target.slowFor >= minSlowTime) {
        if (!history.slow) {
            const bool relapse =
                history.probation > Duration(0) && now < history.slowUntil + relapseWindow;
            history.probation =
                relapse ? std::min(2 * history.probation, maxProbation) : initialProbation;
        }
        history.slow = true;
        history.slowUntil = now + history.probation;
        return;
    }
    if (history.slow && now >= history.slowUntil) {
        history.slow = false;
        history.warmUpFraction = coldFraction;
    }
}

double CapacityTracker::medianSlowdown(const std::vector<BalanceTarget> &targets)
{
    std::vector<double> values;
    for (const BalanceTarget &target : targets) {
        if (target.usable)
            values.push_back(target.slowdown);
    }
    if (values.empty())
        return 1;
    const auto middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / half);
    std::nth_element(values.begin(), middle, values.end());
    return std::max(1.0, *middle);
}

} // namespace yuccaspan::impl
