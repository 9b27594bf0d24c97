/// \file
/// \brief Tracks the usable capacity of targets, which is lower while they are slow or starting.
#pragma once

#include "yuccaspan/balancer.hpp"

#include <map>
#include <vector>

namespace yuccaspan::impl {

/// \brief Remembers between plans when each target was last cold or slow.
class CapacityTracker
{
public:
    /// \brief Updates the history from the current state of the targets.
    /// \returns Currently usable slots of each target, in the order given.
    [[nodiscard]] std::vector<double> update(const std::vector<BalanceTarget> &targets,
                                             TimePoint now);
    /// \brief Whether a target counts as a straggler.
    [[nodiscard]] bool isSlow(const TargetId &target) const;
    /// \brief Whether a target counts as starting.
    [[nodiscard]] bool isCold(const TargetId &target) const;

private:
    struct History
    {
        bool known = false;
        double warmUpFraction = 1; ///< Grows to 1 after a start.
        bool cold = false; ///< Counts as starting.
        bool slow = false; ///< Counts as a straggler.
        Duration probation{}; ///< How long the target still counts as slow after recovery.
        TimePoint slowUntil; ///< End of counting as slow after recovery.
        TimePoint coldUntil; ///< Earliest end of counting as starting, regardless of its reports.
        TimePoint updated; ///< Time of the last update.
    };

    static void updateWarmUp(History &history, const BalanceTarget &target, TimePoint now);
    static void updateSlowness(History &history, const BalanceTarget &target, double median,
                               TimePoint now);
    [[nodiscard]] static double medianSlowdown(const std::vector<BalanceTarget> &targets);

    std::map<TargetId, History> m_history;
};

} // namespace yuccaspan::impl
