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
    /// \brief Whether a target counts as a straggler.
    [[nodiscard]] bool isSlow(const TargetId &target) const;
    /// \brief Whether a target counts as starting.
    [[nodiscard]] bool isCold(const TargetId &target) const;

private:
    struct History
    {
        bool known = false;
        double warmPart = 1; ///< Grows to 1 after a start.
        bool cold = false; ///< Counts as starting.
        bool slow = false; ///< Counts as a straggler.
        Duration slowMemory{}; ///< How long the last slowness counts on.
        TimePoint slowUntil; ///< Until when a past slowness counts.
        TimePoint coldUntil; ///< Until when a start counts, whatever the target says.
        TimePoint updated; ///< Time of the last update.
    };

    static void noteStart(History &history, const BalanceTarget &target, TimePoint now);
    static void noteSlowness(History &history, const BalanceTarget &target, double usual,
                             TimePoint now);
    [[nodiscard]] static double medianSlowdown(const std::vector<BalanceTarget> &targets);

    std::map<TargetId, History> m_history;
};

} // namespace yuccaspan::impl
