#include "placement_policy/capacity_tracker.hpp"

#include <algorithm>

namespace yuccaspan::impl {

namespace {
/// Fraction of its capacity that a target gets while it starts.
constexpr double coldPart = 0.1;
/// Minimum time that a target counts as starting, the same as in the target gates.
constexpr Duration minColdTime = std::chrono::seconds(12);
/// Time over which the load of a started target is raised from zero to full.
constexpr Duration warmUpTime = std::chrono::seconds(4);
/// A target is slow if its slowdown exceeds the median by this factor.
constexpr double slowThreshold = 2.5;
/// Time that a target must be slow before slices are moved away.
constexpr Duration slowPatience = std::chrono::milliseconds(200);
/// Time that a target still counts as slow after it recovered; doubles with each relapse.
constexpr Duration firstSlowMemory = std::chrono::seconds(10);
/// Upper limit of that time.
constexpr Duration maxSlowMemory = std::chrono::seconds(160);
/// A target without slowness for this long starts again with the shortest time.
constexpr Duration relapseTime = std::chrono::seconds(120);
constexpr std::size_t half = 2;
} // namespace

std::vector<double> CapacityTracker::update(const std::vector<BalanceTarget> &targets,
                                            TimePoint now)
{
    std::vector<double> capacity;
    const double usual = medianSlowdown(targets);
    for (const BalanceTarget &target : targets) {
        History &history = m_history[target.id];
        noteStart(history, target, now);
        noteSlowness(history, target, usual, now);
        history.known = true;
        history.updated = now;
        capacity.push_back(target.capacity * history.warmPart);
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

void CapacityTracker::noteStart(History &history, const BalanceTarget &target, TimePoint now)
{
    const bool firstSign = target.cold && !history.cold;
    if (firstSign)
        history.coldUntil = now + minColdTime;
    if (target.cold || now < history.coldUntil) {
        history.warmPart = coldPart;
        history.cold = true;
        return;
    }
    history.cold = false;
    if (!history.known || history.warmPart >= 1)
        return;
    const auto elapsed = static_cast<double>((now - history.updated).count());
    const double step = elapsed / static_cast<double>(warmUpTime.count());
    history.warmPart = std::min(1.0, history.warmPart + std::max(0.0, step));
}

void CapacityTracker::noteSlowness(History &history, const BalanceTarget &target, double usual,
                                   TimePoint now)
{
    if (target.slowdown > slowThreshold * usual && target.slowFor >= slowPatience) {
        if (!history.slow) {
            const bool relapse =
                history.slowMemory > Duration(0) && now < history.slowUntil + relapseTime;
            history.slowMemory =
                relapse ? std::min(2 * history.slowMemory, maxSlowMemory) : firstSlowMemory;
        }
        history.slow = true;
        history.slowUntil = now + history.slowMemory;
        return;
    }
    if (history.slow && now >= history.slowUntil) {
        history.slow = false;
        history.warmPart = coldPart;
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
