/// Divides the range of a new cell into slices.
#include "yuccaspan/balancer.hpp"

#include <algorithm>
#include <cmath>

namespace yuccaspan {

namespace {

/// \brief The targets that will own slices: usable ones of the home zone, else of any zone.
[[nodiscard]] std::vector<BalanceTarget> chooseOwners(const ZoneId &homeZone,
                                                      const std::vector<BalanceTarget> &targets)
{
    std::vector<BalanceTarget> usable;
    std::copy_if(targets.begin(), targets.end(), std::back_inserter(usable),
                 [](const BalanceTarget &target) { return target.usable; });
    std::vector<BalanceTarget> home;
    std::copy_if(usable.begin(), usable.end(), std::back_inserter(home),
                 [&](const BalanceTarget &target) { return target.zone == homeZone; });
    return home.empty() ? usable : home;
}

/// \brief Owners in slice order: adjacent slices share an owner, in proportion to capacity.
[[nodiscard]] std::vector<TargetId> ownersInOrder(const std::vector<BalanceTarget> &owners,
                                                  std::uint32_t slicesPerTarget)
{
    double total = 0;
    for (const BalanceTarget &target : owners)
        total += target.capacity;
    std::vector<TargetId> order;
    for (const BalanceTarget &target : owners) {
        const double relative = total > 0 ? target.capacity * owners.size() / total : 1;
        const double count = std::round(std::max(1U, slicesPerTarget) * relative);
        order.insert(order.end(), static_cast<std::size_t>(std::max(1.0, count)), target.id);
    }
    return order;
}

} // namespace

std::vector<SliceRecord> initialSlices(KeyRange range, const ZoneId &homeZone,
                                       const std::vector<BalanceTarget> &targets,
                                       std::uint32_t slicesPerTarget)
{
    std::vector<TargetId> order = ownersInOrder(chooseOwners(homeZone, targets), slicesPerTarget);
    if (order.empty())
        order.assign(std::max(1U, slicesPerTarget), TargetId());
    const KeyHash width = range.last - range.first;
    if (width < order.size())
        order.resize(1);
    const KeyHash step = order.size() > 1 ? width / order.size() + 1 : 0;
    std::vector<SliceRecord> slices;
    for (std::size_t index = 0; index < order.size(); ++index) {
        SliceRecord slice;
        slice.range.first = range.first + index * step;
        slice.range.last =
            index + 1 == order.size() ? range.last : range.first + (index + 1) * step - 1;
        slice.owner = order[index];
        slices.push_back(slice);
    }
    return slices;
}

} // namespace yuccaspan
