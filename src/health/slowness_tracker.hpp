/// \file
/// \brief Combines what instances observe of targets into one slowdown for each target.
#pragma once

#include "yuccaspan/balancer.hpp"

#include <map>
#include <vector>

namespace yuccaspan::impl {

/// \brief Slowness of one target that instances agree on.
struct AgreedSlowness
{
    double slowdown = 1; ///< Median over the instances that send to the target.
    Duration slowFor{}; ///< For how long the median has been high.
};

/// \brief Keeps the latest observation of each instance.
class SlownessTracker
{
public:
    /// \brief An instance reported an observation.
    void report(const InstanceId &from, const TargetObservation &observation, TimePoint now);
    /// \brief What the instances agree on.
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
