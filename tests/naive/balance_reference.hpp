/// \file
/// \brief A naive balancer that the tests hold the real one against.
#pragma once

#include "yuccaspan/balancer.hpp"

#include <algorithm>
#include <map>
#include <vector>

namespace yuccaspan::naive {

/// \brief Load of each target, with slices as they will be once all moves have ended.
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

/// \brief Reassigns every slice from scratch: largest first, to the target with the lowest load
/// to capacity. The best balance that is simple to reach; it ignores churn.
/// \returns Max over mean of load to capacity.
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
        const auto coolest = std::min_element(
            targets.begin(), targets.end(), [slice](const auto &left, const auto &right) {
                return (left.first + slice) / left.second < (right.first + slice) / right.second;
            });
        coolest->first += slice;
    }
    double worst = 0;
    for (const auto &[load, slots] : targets)
        worst = std::max(worst, load / slots);
    return total > 0 ? worst / (total / capacity) : 1;
}

} // namespace yuccaspan::naive
