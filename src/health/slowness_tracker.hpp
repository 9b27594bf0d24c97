/// \file
/// \brief Combines the observations of all instances into one slowdown per target.
#pragma once

#include "yuccaspan/balancer.hpp"

#include <map>
#include <vector>

namespace yuccaspan::impl {

/// \brief Slowness of one target, aggregated over instances.
struct AgreedSlowness
{
    double slowdown = 1; ///< Median over the instances that send to the target.
    Duration slowFor{}; ///< Time for which the median has been above the threshold.
};

/// \brief Keeps the latest observation from each instance.
class SlownessTracker
{
public:
    /// \brief Records an observation of an instance.
    void report(const InstanceId &from, const TargetObservation &observation, TimePoint now);
    /// \brief The aggregated slowness of a target.
    [[nodiscard]] AgreedSlowness agreed(const TargetId &target, TimePoint now);

private:
    struct Sample
    {
        TargetObservation observation;
        TimePoint at;
    };
    struct History
    {
        std::map<InstanceId, Sample> samples;
        TimePoint slowSince;
        bool slow = false;
    };

    [[nodiscard]] static double median(const History &history, TimePoint now);

    std::map<TargetId, History> m_targets;
};

} // namespace yuccaspan::impl
