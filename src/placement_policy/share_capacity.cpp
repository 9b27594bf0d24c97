/// Divides a target's slots and connections between entry instances.
#include "yuccaspan/balancer.hpp"

#include <algorithm>
#include <cmath>

namespace yuccaspan {

namespace {

/// Fraction of the capacity that is divided evenly, so that new demand has a share at once.
constexpr double evenFraction = 0.3;

/// \brief The only instance that may send to the target while it starts. Rendezvous hashing keeps
/// it stable and spreads starting targets over the instances.
[[nodiscard]] InstanceId coldInstance(const TargetId &target,
                                      const std::map<InstanceId, double> &demand)
{
    InstanceId best;
    KeyHash bestHash = 0;
    for (const auto &[instance, slots] : demand) {
        const KeyHash hash = hashKey(target.text() + '/' + instance.text());
        if (best.empty() || hash > bestHash) {
            best = instance;
            bestHash = hash;
        }
    }
    return best;
}

/// \brief An instance's fraction of the capacity, from its demand and the evenly divided part.
[[nodiscard]] double fractionOf(double demand, double total, std::size_t instances)
{
    const double even = 1.0 / static_cast<double>(instances);
    if (total <= 0)
        return even;
    return evenFraction * even + (1 - evenFraction) * std::max(0.0, demand) / total;
}

} // namespace

std::map<InstanceId, CapacityShare> shareCapacity(const TargetSettings &target,
                                                  const std::map<InstanceId, double> &demand)
{
    std::map<InstanceId, CapacityShare> shares;
    double total = 0;
    for (const auto &[instance, slots] : demand)
        total += std::max(0.0, slots);
    for (const auto &[instance, slots] : demand) {
        const double fraction = fractionOf(slots, total, demand.size());
        CapacityShare share;
        share.target = target.id;
        share.slots = fraction * target.slots;
        share.connections = static_cast<std::uint32_t>(fraction * target.connections);
        shares.emplace(instance, share);
    }
    if (!shares.empty())
        shares[coldInstance(target.id, demand)].coldSlots = 1;
    return shares;
}

} // namespace yuccaspan
