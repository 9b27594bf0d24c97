#include "placement_policy/capacity_tracker.hpp"

#include <algorithm>

namespace yuccaspan::impl {

namespace {
/// Part of its capacity that a target is given while it starts.
constexpr double coldPart = 0.1;
/// A start counts for this long after its first sign, as at the gates.
constexpr Duration minColdTime = std::chrono::seconds(12);
/// Time in which a target that has started is brought from nothing to its full load.
constexpr Duration warmUpTime = std::chrono::seconds(4);
/// A target is slow beyond this slowdown.
constexpr double slowThreshold = 2.5;
/// Slowness must last longer than this before slices are moved for it.
constexpr Duration slowPatience = std::chrono::milliseconds(400);
/// For this long after it ended slowness still counts, so that slices do not go to and fro.
constexpr Duration slowMemory = std::chrono::seconds(10);
/// Slowness counts at most this much.
constexpr double maxSlowdown = 50;
} // namespace

std::vector<double> CapacityTracker::update(const std::vector<BalanceTarget> &targets,
                                            TimePoint now)
{
    std::vector<double> capacity;
    for (const BalanceTarget &target : targets) {
        History &history = m_history[target.id];
        noteStart(history, target, now);
        noteSlowness(history, target, now);
        history.known = true;
        history.updated = now;
        capacity.push_back(target.capacity * history.warmPart / history.slowdown);
    }
    return capacity;
}

bool CapacityTracker::isCold(const TargetId &target) const
{
    const auto found = m_history.find(target);
    return found != m_history.end() && (found->second.warmPart <= coldPart);
}

void CapacityTracker::noteStart(History &history, const BalanceTarget &target, TimePoint now)
{
    const bool firstSign = target.cold && now >= history.coldUntil && history.warmPart >= 1;
    if (firstSign)
        history.coldUntil = now + minColdTime;
    if (target.cold || now < history.coldUntil) {
        history.warmPart = coldPart;
        return;
    }
    if (!history.known || history.warmPart >= 1)
        return;
    const auto elapsed = static_cast<double>((now - history.updated).count());
    const double step = elapsed / static_cast<double>(warmUpTime.count());
    history.warmPart = std::min(1.0, history.warmPart + std::max(0.0, step));
}

void CapacityTracker::noteSlowness(History &history, const BalanceTarget &target, TimePoint now)
{
    const bool slow = target.slowdown > slowThreshold && target.slowFor >= slowPatience;
    if (slow) {
        history.slowdown = std::max(history.slowdown, std::min(target.slowdown, maxSlowdown));
        history.slowUntil = now + slowMemory;
        return;
    }
    if (now >= history.slowUntil)
        history.slowdown = 1;
}

} // namespace yuccaspan::impl
