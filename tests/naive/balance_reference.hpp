/// \file
/// \brief Reference balancer for comparison in tests.
#pragma once

#include "yuccaspan/balancer.hpp"

#include <algorithm>
#include <map>
#include <vector>

namespace yuccaspan::naive {

/// \brief Load of each target, assuming that all moves have completed.
[[nodiscard]] inline std::map<TargetId, double> loadOfTargets(const BalanceInput &input)
{
    std::map<TargetId, double> loads;
    for (const BalanceTarget &target : input.targets)
        loads[target.id] = 0;
    for (const SliceRecord &slice : input.record->slices) {
        const TargetId &owner = slice.phase == SlicePhase::Moving ? slice.nextOwner : slice.owner;
        for (const SliceLoad &load : input.loads) {
            if (load.range == slice.range && loads.contains(owner))
                loads[owner] += load.requestsPerSecond;
        }
    }
    return loads;
}

/// \brief Reassigns all slices greedily: largest first, to the target with the lowest ratio of load
/// to capacity. Gives the best balance of a simple algorithm and ignores churn.
/// \returns The maximum ratio of load to capacity, divided by that of the totals.
[[nodiscard]] inline double bestSimpleImbalance(const BalanceInput &input)
{
    std::vector<double> slices;
    double total = 0;
    for (const SliceLoad &load : input.loads) {
        slices.push_back(load.requestsPerSecond);
        total += load.requestsPerSecond;
    }
    std::sort(slices.rbegin(), slices.rend());
    std::vector<std::pair<double, double>> targets; // load, capacity
    double capacity = 0;
    for (const BalanceTarget &target : input.targets) {
        if (!target.usable)
            continue;
        targets.emplace_back(0, target.capacity);
        capacity += target.capacity;
    }
    for (const double slice : slices) {
        const auto leastLoaded = std::min_element(
            targets.begin(), targets.end(), [slice](const auto &left, const auto &right) {
                return (left.first + slice) / left.second < (right.first + slice) / right.second;
            });
        leastLoaded->first += slice;
    }
    double worst = 0;
    for (const auto &[load, slots] : targets)
        worst = std::max(worst, load / slots);
    return total > 0 ? worst / (total / capacity) : 1;
}

} // namespace yuccaspan::naive
