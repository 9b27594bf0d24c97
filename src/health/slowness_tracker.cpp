#include "health/slowness_tracker.hpp"

#include <algorithm>

namespace yuccaspan::impl {

namespace {
/// Observations older than this are ignored.
constexpr Duration observationLifetime = std::chrono::seconds(3);
/// A target counts as slow, and `slowFor` grows, while its median is above this.
constexpr double slowMedianThreshold = 2;
/// Minimum demand in slots; below it an instance has too few samples.
constexpr double minDemand = 0.02;
} // namespace

void SlownessTracker::report(const InstanceId &from, const TargetObservation &observation,
                             TimePoint now)
{
    m_targets[observation.target].samples[from] = {observation, now};
}

double SlownessTracker::median(const History &history, TimePoint now)
{
    std::vector<double> values;
    for (const auto &[instance, sample] : history.samples) {
        const bool fresh = now - sample.at <= observationLifetime;
        if (fresh && sample.observation.demandSlots >= minDemand)
            values.push_back(sample.observation.slowdown);
    }
    if (values.empty())
        return 1;
    const auto middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
    std::nth_element(values.begin(), middle, values.end());
    return *middle;
}

AgreedSlowness SlownessTracker::agreed(const TargetId &target, TimePoint now)
{
    History &history = m_targets[target];
    const double slowdown = median(history, now);
    if (slowdown <= slowMedianThreshold) {
        history.slow = false;
        return {slowdown, Duration(0)};
    }
    if (!history.slow) {
        history.slow = true;
        history.slowSince = now;
    }
    return {slowdown, now - history.slowSince};
}

} // namespace yuccaspan::impl
