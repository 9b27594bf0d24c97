/// \file
/// \brief Follows how much of its capacity each target can use: slowness and starts count.
#pragma once

#include "yuccaspan/balancer.hpp"

#include <map>
#include <vector>

namespace yuccaspan::impl {

/// \brief Keeps, between plans, when each target was last cold or slow.
class CapacityTracker
{
public:
    /// \brief Takes the present state of the targets.
    /// \returns Slots that each target can use at present, in the order given.
    [[nodiscard]] std::vector<double> update(const std::vector<BalanceTarget> &targets,
                                             TimePoint now);
    /// \brief Whether a target counts as starting.
    [[nodiscard]] bool isCold(const TargetId &target) const;

private:
    struct History
    {
        bool known = false;
        double warmPart = 1; ///< Grows to 1 after a start.
        double slowdown = 1; ///< In force for the plan; 1 is usual.
        TimePoint slowUntil; ///< Until when a past slowness counts.
        TimePoint coldUntil; ///< Until when a start counts, whatever the target says.
        TimePoint updated; ///< Time of the last update.
    };

    static void noteStart(History &history, const BalanceTarget &target, TimePoint now);
    static void noteSlowness(History &history, const BalanceTarget &target, TimePoint now);

    std::map<TargetId, History> m_history;
};

} // namespace yuccaspan::impl
